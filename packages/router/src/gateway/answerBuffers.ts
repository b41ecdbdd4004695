/** Memory for all answers that are buffered until they are complete. */
const MAX_BUFFERED_BYTES = 33_554_432;

/** An answer that is buffered until it is complete. */
export interface BufferedAnswer {
  /** Bytes buffered so far. */
  readonly bufferedBytes: number;
  /** Gives up the answer and its memory; called when all answers together need too much. */
  giveUp(): void;
}

/** Bounds the memory of all buffered answers of a gateway. */
export class AnswerBuffers {
  readonly #answers = new Set<BufferedAnswer>();

  #bytes = 0;

  /** Counts bytes that an answer has buffered; the largest answers are given up beyond the limit. */
  add(answer: BufferedAnswer, bytes: number): void {
    this.#answers.add(answer);
    this.#bytes += bytes;
    while (this.#bytes > MAX_BUFFERED_BYTES) this.#findLargest().giveUp();
  }

  /** Frees the memory of an answer; called once for each that `add` was called for. */
  release(answer: BufferedAnswer): void {
    if (this.#answers.delete(answer)) this.#bytes -= answer.bufferedBytes;
  }

  #findLargest(): BufferedAnswer {
    return [...this.#answers].reduce((largest, answer) =>
      answer.bufferedBytes > largest.bufferedBytes ? answer : largest,
    );
  }
}
