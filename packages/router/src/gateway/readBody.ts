import type { IncomingMessage } from 'node:http';

import { now } from '../clock.js';
import {
  SMALL_BODY_BYTES,
  type BodyWaiter,
  type BodyRoom,
  type HeldBody,
} from '../memory/index.js';
import type { RejectedRequest } from './admitRequest.js';
import { readInTurns } from './readInTurns.js';

/** A body that has been read, and its room; null without bytes. */
export interface WholeBody {
  readonly body: Buffer | null;
  readonly held: HeldBody | null;
}

/** Result of reading a request's body; `cut` when the connection closed first. */
export type ReadBodyResult =
  | ({ readonly kind: 'whole' } & WholeBody)
  | { readonly kind: 'refused'; readonly rejection: RejectedRequest }
  | { readonly kind: 'cut' };

/** Why a body is refused that is read only in part, or not at all. */
export type BodyRefusal = 'too-large' | 'no-room' | 'stalled';

/** Who asks for room, and until when. */
export type BodyDescription = Pick<BodyWaiter, 'priority' | 'owner' | 'giveUpAt' | 'readBy'>;

/** What the reader of a body asks for. */
export interface BodyReadTerms {
  readonly maxBytes: number;
  readonly kind: HeldBody['kind'];
  /** Returns who asks for room, or why the request is rejected anyway. */
  describe(): BodyDescription | RejectedRequest;
  /** Returns the answer to a request whose body is refused. */
  reject(refusal: BodyRefusal): RejectedRequest;
  /** Tells the caller to send the body. */
  begin(): void;
}

/** Reads the body of one request into the room that it gets. */
class BodyReader {
  readonly #request: IncomingMessage;

  readonly #room: BodyRoom;

  readonly #terms: BodyReadTerms;

  readonly #resolve: (result: ReadBodyResult) => void;

  /** Bytes that have been read while the body is small. */
  #chunks: Buffer[] = [];

  /** The place of a large body. */
  #body: Buffer | null = null;

  #size = 0;

  #held: HeldBody | null = null;

  #waiter: BodyWaiter | null = null;

  #isOver = false;

  constructor(
    request: IncomingMessage,
    room: BodyRoom,
    terms: BodyReadTerms,
    resolve: (result: ReadBodyResult) => void,
  ) {
    this.#request = request;
    this.#room = room;
    this.#terms = terms;
    this.#resolve = resolve;
  }

  start(): void {
    const { headers } = this.#request;
    const isChunked = headers['transfer-encoding'] !== undefined;
    const bytes = isChunked ? SMALL_BODY_BYTES : Number(headers['content-length'] ?? 0);
    this.#request.on('close', () => this.#cut());
    this.#request.on('error', () => this.#cut());
    if (!isChunked && bytes > this.#maxBytes) this.#refuse('too-large');
    else if (bytes > SMALL_BODY_BYTES) this.#askFor(bytes);
    else {
      this.#held = bytes === 0 ? null : this.#room.holdSmall(this.#terms.kind, bytes);
      if (bytes === 0 || this.#held !== null) this.#read();
      else this.#askFor(bytes);
    }
  }

  get #maxBytes(): number {
    return Math.min(this.#terms.maxBytes, this.#room.largestBytes);
  }

  #askFor(bytes: number): void {
    const described = this.#terms.describe();
    if ('kind' in described) {
      this.#end({ kind: 'refused', rejection: described });
      return;
    }
    this.#waiter = {
      ...described,
      kind: this.#terms.kind,
      bytes,
      grant: (held) => this.#begin(held, bytes),
      refuse: () => this.#refuse('no-room'),
    };
    this.#room.ask(this.#waiter);
  }

  #begin(held: HeldBody, bytes: number): void {
    const isBegun = this.#held !== null;
    this.#held?.release();
    this.#held = held;
    this.#waiter = null;
    if (bytes > SMALL_BODY_BYTES) {
      // Pages that are not written cost no memory.
      this.#body = Buffer.allocUnsafeSlow(bytes);
      let offset = 0;
      this.#chunks.forEach((chunk) => {
        offset += chunk.copy(this.#body!, offset);
      });
      this.#chunks = [];
      readInTurns(this.#request);
    }
    if (isBegun) {
      this.#watchStall();
      this.#request.resume();
    } else this.#read();
  }

  #watchStall(): void {
    if (this.#held !== null) this.#held.endReading = () => this.#refuse('stalled');
  }

  #read(): void {
    this.#watchStall();
    this.#terms.begin();
    this.#request.on('data', (chunk: Buffer) => this.#add(chunk));
    this.#request.on('end', () => this.#complete());
  }

  #add(chunk: Buffer): void {
    if (this.#isOver) return;
    const offset = this.#size;
    this.#size += chunk.length;
    if (this.#size > this.#maxBytes) {
      this.#refuse('too-large');
      return;
    }
    if (this.#held !== null) this.#held.readAt = now();
    if (this.#body !== null) chunk.copy(this.#body, offset);
    else {
      this.#chunks.push(chunk);
      if (this.#size > SMALL_BODY_BYTES) this.#widen();
    }
  }

  /** Asks for room for the rest of a body without a length, which has turned out to be large. */
  #widen(): void {
    this.#request.pause();
    this.#askFor(Math.floor(this.#maxBytes));
  }

  #complete(): void {
    if (this.#isOver) return;
    const [first = null] = this.#chunks;
    const joined = this.#chunks.length > 1 ? Buffer.concat(this.#chunks, this.#size) : first;
    const body = this.#body?.subarray(0, this.#size) ?? joined;
    this.#held?.settle(this.#size, this.#body);
    this.#isOver = true;
    this.#chunks = [];
    this.#body = null;
    this.#resolve({ kind: 'whole', body, held: this.#held });
  }

  #refuse(refusal: BodyRefusal): void {
    this.#end({ kind: 'refused', rejection: this.#terms.reject(refusal) });
  }

  #cut(): void {
    this.#end({ kind: 'cut' });
  }

  /** Ends without a body; nothing of it is kept. */
  #end(result: ReadBodyResult): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#chunks = [];
    this.#body = null;
    if (this.#waiter !== null) this.#room.withdraw(this.#waiter);
    this.#held?.release();
    this.#resolve(result);
  }
}

/** Reads a request's complete body once there is room for it; never rejects. */
export function readBody(
  request: IncomingMessage,
  room: BodyRoom,
  terms: BodyReadTerms,
): Promise<ReadBodyResult> {
  return new Promise((resolve) => {
    new BodyReader(request, room, terms, resolve).start();
  });
}
