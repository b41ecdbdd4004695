import type { ServerResponse } from 'node:http';

import { now } from '../clock.js';
import { freeBuffer, type MemoryAccount } from '../memory/index.js';

/** Memory for all answers that are buffered until they are complete, or until their callers have taken them. */
const MAX_BUFFERED_BYTES = 16_777_216;

/** Answers of this size or less are neither paused, nor watched, nor given up. */
const SMALL_ANSWER_BYTES = 65_536;

/**
 * Time after which a caller that takes no byte of its answer gives way to others; the runtime finds that out
 * within twice the time.
 */
const MAX_UNTAKEN_MS = 1500;

/** Time after which an answer that gets no byte from its endpoint gives way to others. */
const MAX_STALL_MS = 1500;

/** Time as the buffers need it. */
export interface BufferClock {
  /** Epoch milliseconds. */
  now(): number;
  /** Time since an instant in which this process listened, in milliseconds. */
  listenedMs(since: number): number;
}

const systemClock: BufferClock = { now, listenedMs: (since) => now() - since };

/** An answer that is buffered until it is complete. */
export interface BufferedAnswer {
  /** Length that it has announced, which is within the limit of one answer; null without one. */
  readonly expectedBytes: number | null;
  /** Gives up the answer and its memory; called when all answers together need too much. */
  giveUp(): void;
  /** Goes on reading a paused answer. */
  resume(): void;
}

/**
 * Bounds the memory of all answers of a gateway that are buffered or not yet taken. Beyond the limit
 * only the oldest answer of a known length is read on; of those without, the largest is given up.
 */
export class AnswerBuffers {
  readonly #account: MemoryAccount;

  /** The oldest first. */
  readonly #bytesOf = new Map<BufferedAnswer, number>();

  readonly #paused = new Set<BufferedAnswer>();

  /** When bytes of an answer were last read, or it was resumed; epoch milliseconds. */
  readonly #readAt = new WeakMap<BufferedAnswer, number>();

  #bufferedBytes = 0;

  #untakenBytes = 0;

  #isResuming = false;

  readonly #clock: BufferClock;

  constructor(account: MemoryAccount, clock: BufferClock = systemClock) {
    this.#account = account;
    this.#clock = clock;
  }

  /** Number of answers whose reading is paused. */
  get pausedCount(): number {
    return this.#paused.size;
  }

  /** Counts bytes that an answer has buffered; false when it must not be read on before it is resumed. */
  add(answer: BufferedAnswer, bytes: number): boolean {
    this.#bytesOf.set(answer, (this.#bytesOf.get(answer) ?? 0) + bytes);
    this.#readAt.set(answer, this.#clock.now());
    this.#bufferedBytes += bytes;
    this.#account.add('answer', bytes);
    while (this.#bufferedBytes > MAX_BUFFERED_BYTES) {
      const largest = this.#findLargestUnbounded();
      if (largest === undefined) break;
      largest.giveUp();
      this.release(largest);
    }
    if (!this.#bytesOf.has(answer) || this.#mayGoOn(answer)) return true;
    this.#paused.add(answer);
    return false;
  }

  /** Gives up the largest answer that has come to a halt while others wait for it. To be called often. */
  maintain(): void {
    if (this.#paused.size === 0) return;
    const [halted] = [...this.#bytesOf]
      .filter(([answer, bytes]) => bytes > SMALL_ANSWER_BYTES && this.#hasHalted(answer))
      .sort(([, left], [, right]) => right - left);
    if (halted === undefined) return;
    const [answer] = halted;
    answer.giveUp();
    this.release(answer);
  }

  /** Frees the memory of an answer that has ended or is given up. */
  release(answer: BufferedAnswer): void {
    const bytes = this.#bytesOf.get(answer);
    if (bytes === undefined) return;
    this.#bufferedBytes -= bytes;
    this.#account.remove('answer', bytes);
    this.#bytesOf.delete(answer);
    this.#paused.delete(answer);
    this.#scheduleResume();
  }

  /** Counts a whole answer until its caller has taken it, or left. */
  holdUntilTaken(response: ServerResponse, answer: Buffer): void {
    const { length } = answer;
    if (length <= SMALL_ANSWER_BYTES || response.closed) return;
    this.#untakenBytes += length;
    this.#account.add('answer', length);
    this.#watchTaking(response);
    response.once('close', () => {
      this.#untakenBytes -= length;
      this.#account.remove('answer', length);
      // No write of it is in progress any more.
      if (response.writableFinished) freeBuffer(answer);
      this.#scheduleResume();
    });
  }

  /** Ends a connection whose caller takes nothing while the answers of others wait. */
  #watchTaking(response: ServerResponse): void {
    response.setTimeout(MAX_UNTAKEN_MS, () => {
      if (this.#paused.size > 0) response.socket?.resetAndDestroy();
      else response.setTimeout(MAX_UNTAKEN_MS);
    });
  }

  #hasHalted(answer: BufferedAnswer): boolean {
    if (this.#paused.has(answer)) return false;
    return this.#clock.listenedMs(this.#readAt.get(answer)!) >= MAX_STALL_MS;
  }

  #mayGoOn(answer: BufferedAnswer): boolean {
    if (this.#bytesOf.get(answer)! <= SMALL_ANSWER_BYTES) return true;
    if (this.#untakenBytes > MAX_BUFFERED_BYTES) return false;
    if (answer.expectedBytes === null) return true;
    if (this.#untakenBytes + this.#bufferedBytes <= MAX_BUFFERED_BYTES) return true;
    return answer === this.#findOldest();
  }

  #findOldest(): BufferedAnswer | undefined {
    return [...this.#bytesOf.keys()].find(({ expectedBytes }) => expectedBytes !== null);
  }

  #findLargestUnbounded(): BufferedAnswer | undefined {
    const unbounded = [...this.#bytesOf].filter(([{ expectedBytes }]) => expectedBytes === null);
    return unbounded.sort(([, a], [, b]) => b - a)[0]?.[0];
  }

  /** Another answer may just be parsed, which must end first. */
  #scheduleResume(): void {
    if (this.#isResuming || this.#paused.size === 0) return;
    this.#isResuming = true;
    setImmediate(() => {
      this.#isResuming = false;
      [...this.#bytesOf.keys()].forEach((answer) => {
        if (!this.#paused.has(answer) || !this.#mayGoOn(answer)) return;
        this.#paused.delete(answer);
        this.#readAt.set(answer, this.#clock.now());
        answer.resume();
      });
    });
  }
}
