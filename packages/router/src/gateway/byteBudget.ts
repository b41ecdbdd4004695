const MS_PER_SECOND = 1000;

/** Bytes that may be sent: some at once, and so many a second. */
export class ByteBudget {
  readonly #bytesPerSecond: number;

  readonly #capacity: number;

  #left: number;

  #filledAt: number;

  constructor(bytesPerSecond: number, capacity: number, now: number) {
    this.#bytesPerSecond = bytesPerSecond;
    this.#capacity = capacity;
    this.#left = capacity;
    this.#filledAt = now;
  }

  /** Says whether bytes are left. */
  has(bytes: number, now: number): boolean {
    this.#refill(now);
    return this.#left >= bytes;
  }

  /** Takes bytes; false when they are not left. */
  take(bytes: number, now: number): boolean {
    if (!this.has(bytes, now)) return false;
    this.#left -= bytes;
    return true;
  }

  #refill(now: number): void {
    const earned = ((now - this.#filledAt) / MS_PER_SECOND) * this.#bytesPerSecond;
    this.#left = Math.min(this.#capacity, this.#left + Math.max(0, earned));
    this.#filledAt = now;
  }
}
