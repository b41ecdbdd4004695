/** Memory for all answers that are buffered until they are complete. */
const MAX_BUFFERED_BYTES = 16_777_216;

/** An answer that is buffered until it is complete. */
export interface BufferedAnswer {
  /** Gives up the answer and its memory; called when all answers together need too much. */
  giveUp(): void;
}

/** Bounds the memory of all buffered answers of a gateway. */
export class AnswerBuffers {
  readonly #bytesOf = new Map<BufferedAnswer, number>();

  #bytes = 0;

  /** Counts bytes that an answer has buffered; the largest answers are given up beyond the limit. */
  add(answer: BufferedAnswer, bytes: number): void {
    this.#bytesOf.set(answer, (this.#bytesOf.get(answer) ?? 0) + bytes);
    this.#bytes += bytes;
    while (this.#bytes > MAX_BUFFERED_BYTES) {
      const largest = this.#findLargest();
      largest.giveUp();
      this.release(largest);
    }
  }

  /** Frees the memory of an answer that has ended or is given up. */
  release(answer: BufferedAnswer): void {
    this.#bytes -= this.#bytesOf.get(answer) ?? 0;
    this.#bytesOf.delete(answer);
  }

  #findLargest(): BufferedAnswer {
    const [[largest]] = [...this.#bytesOf].sort(([, a], [, b]) => b - a) as [
      [BufferedAnswer, number],
    ];
    return largest;
  }
}
