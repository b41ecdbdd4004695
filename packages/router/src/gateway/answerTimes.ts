/** When one caller got its answer, or the events of its stream; epoch milliseconds. */
export class AnswerTimes {
  #firstAt: number | null = null;

  #lastEventAt: number | null = null;

  #longestPauseMs = 0;

  /** Time of the answer, or of the first event of a stream; null before. */
  get firstAt(): number | null {
    return this.#firstAt;
  }

  /** Longest time between two writes to the caller. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** Records the answer or an event; true for the first. */
  record(instant: number): boolean {
    if (this.#lastEventAt !== null) {
      this.#longestPauseMs = Math.max(this.#longestPauseMs, instant - this.#lastEventAt);
    }
    this.#lastEventAt = instant;
    if (this.#firstAt !== null) return false;
    this.#firstAt = instant;
    return true;
  }
}
