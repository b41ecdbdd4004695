/** A process that has crashed does not serve again sooner, in milliseconds. */
const MIN_RESTART_MS = 500;

/**
 * Tells whether an answer has come without a gap in which its endpoint could have crashed and started
 * again. A gap counts until the answer has gone on for as long: by then the bytes that were sent before
 * a crash have arrived.
 */
export class AnswerContinuity {
  #heardAt: number;

  #gapEndedAt: number | null = null;

  /** `startedAt` is a time before which the request was not sent; epoch milliseconds. */
  constructor(startedAt: number) {
    this.#heardAt = startedAt;
  }

  /** Time of the latest bytes, or of the start; epoch milliseconds. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Records that bytes were read. */
  recordBytes(at: number): void {
    if (at - this.#heardAt >= MIN_RESTART_MS) this.#gapEndedAt = at;
    this.#heardAt = at;
  }

  /** Says whether the process that sends the answer lives at a time, not before its latest bytes. */
  holdsAt(at: number): boolean {
    if (at - this.#heardAt >= MIN_RESTART_MS) return false;
    return this.#gapEndedAt === null || this.#heardAt - this.#gapEndedAt >= MIN_RESTART_MS;
  }
}
