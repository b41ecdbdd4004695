import type { AnswerBuffers, BufferedAnswer } from './answerBuffers.js';

/** Maximum size of an answer that is buffered until it is complete. */
export const MAX_ANSWER_BYTES = 16_777_216;

/** The body of an answer that is buffered until it is complete. */
export class AnswerBody implements BufferedAnswer {
  readonly #buffers: AnswerBuffers;

  readonly #reject: (message: string) => void;

  readonly #chunks: Buffer[] = [];

  #bytes = 0;

  /** `reject` is called when the answer is too large. */
  constructor(buffers: AnswerBuffers, reject: (message: string) => void) {
    this.#buffers = buffers;
    this.#reject = reject;
  }

  /** Adds bytes. */
  push(chunk: Buffer): void {
    this.#bytes += chunk.length;
    this.#chunks.push(chunk);
    if (this.#bytes > MAX_ANSWER_BYTES) this.#reject('answer exceeds the size limit');
    else this.#buffers.add(this, chunk.length);
  }

  /** Returns all bytes. */
  join(): Buffer {
    return Buffer.concat(this.#chunks);
  }

  /** Frees the memory. */
  release(): void {
    this.#buffers.release(this);
    this.#chunks.length = 0;
  }

  giveUp(): void {
    this.#reject('answer exceeds the memory for answers');
  }
}
