import { ByteCollector } from '../bounds/index.js';
import type { AnswerBuffers, BufferedAnswer } from './answerBuffers.js';

/** Maximum size of an answer that is buffered until it is complete. */
export const MAX_ANSWER_BYTES = 16_777_216;

/** Length above which an answer is copied into one place as it arrives. */
const MIN_WHOLE_BYTES = 65_536;

/** The body of an answer that is buffered until it is complete. */
export class AnswerBody implements BufferedAnswer {
  readonly #buffers: AnswerBuffers;

  readonly #reject: (message: string) => void;

  readonly #resume: () => void;

  readonly #chunks = new ByteCollector();

  /** The place of an answer whose length is known and more than one chunk. */
  #whole: Buffer | null = null;

  #bytes = 0;

  #expectedBytes: number | null = null;

  #isPaused = false;

  /** `reject` is called when the answer is too large, `resume` when it is to be read on. */
  constructor(buffers: AnswerBuffers, reject: (message: string) => void, resume: () => void) {
    this.#buffers = buffers;
    this.#reject = reject;
    this.#resume = resume;
  }

  get expectedBytes(): number | null {
    return this.#expectedBytes;
  }

  /** True while its reading is paused. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Says how long the answer is; what it brings may still differ. */
  expect(bytes: number): void {
    this.#expectedBytes = bytes;
    if (bytes > MIN_WHOLE_BYTES) this.#whole = Buffer.allocUnsafeSlow(bytes);
  }

  /** Adds bytes; false when no more are to be read for now. */
  push(chunk: Buffer): boolean {
    if (this.#whole === null) this.#chunks.add(chunk);
    else chunk.copy(this.#whole, this.#bytes);
    this.#bytes += chunk.length;
    if (this.#bytes > MAX_ANSWER_BYTES) this.#reject('answer exceeds the size limit');
    else this.#isPaused = !this.#buffers.add(this, chunk.length);
    return !this.#isPaused;
  }

  /** Returns all bytes. */
  join(): Buffer {
    return this.#whole?.subarray(0, this.#bytes) ?? this.#chunks.join();
  }

  /** Frees the memory. */
  release(): void {
    this.#isPaused = false;
    this.#buffers.release(this);
    this.#chunks.clear();
    this.#whole = null;
  }

  resume(): void {
    this.#isPaused = false;
    this.#resume();
  }

  giveUp(): void {
    this.#reject('answer exceeds the memory for answers');
  }
}
