import { freeBuffer } from './freeBuffer.js';
import type { HeldKind } from './heldKind.js';

/** Room for the body of one request, held while something uses the body. */
export class HeldBody {
  readonly kind: HeldKind;

  /** Client account that sends it; null without one. */
  readonly owner: string | null;

  readonly isSmall: boolean;

  /** Ends the request; null once its body is whole. */
  endReading: (() => void) | null = null;

  /** It gives way to others after this unless it is whole; epoch milliseconds. */
  readonly readBy: number;

  /** Time at which bytes of it were last read; epoch milliseconds. */
  readAt: number;

  readonly #giveBack: (held: HeldBody, bytes: number) => void;

  #bytes: number;

  /** The whole body, in memory that is only its own; null otherwise. */
  #body: Buffer | null = null;

  #uses = 1;

  constructor(
    terms: Pick<HeldBody, 'kind' | 'owner' | 'isSmall' | 'readAt' | 'readBy'>,
    bytes: number,
    giveBack: (held: HeldBody, bytes: number) => void,
  ) {
    this.kind = terms.kind;
    this.owner = terms.owner;
    this.isSmall = terms.isSmall;
    this.readAt = terms.readAt;
    this.readBy = terms.readBy;
    this.#bytes = bytes;
    this.#giveBack = giveBack;
  }

  /** Size of the room. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Takes the whole body and gives back what it does not need; `body` is null unless its memory is its own. */
  settle(bytes: number, body: Buffer | null): void {
    this.endReading = null;
    this.#body = body;
    this.#resize(bytes);
  }

  /** Adds a use. */
  retain(): void {
    this.#uses += 1;
  }

  /** Ends a use; the last one gives back the room. */
  release(): void {
    this.#uses -= 1;
    if (this.#uses > 0) return;
    this.endReading = null;
    this.#resize(0);
    // What ends in this turn may still read it.
    if (this.#body !== null) process.nextTick(() => this.#free());
  }

  /** Ends the use of a sender whose last write may still be in progress. */
  releaseUnwritten(): void {
    this.#body = null;
    this.release();
  }

  #resize(bytes: number): void {
    const spareBytes = this.#bytes - bytes;
    this.#bytes = bytes;
    this.#giveBack(this, spareBytes);
  }

  #free(): void {
    if (this.#body !== null) freeBuffer(this.#body);
    this.#body = null;
  }
}
