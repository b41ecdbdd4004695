/** A rate as an exponentially decaying sum of amounts. */
export interface Rate {
  readonly timeConstantMs: number;
  /** Decayed sum at `updatedAt`. */
  sum: number;
  /** Instant of the latest amount, in milliseconds. */
  updatedAt: number;
}

/** Creates a rate of 0 whose amounts decay by 1/e in each time constant, in milliseconds. */
export function createRate(timeConstantMs: number): Rate {
  return { timeConstantMs, sum: 0, updatedAt: 0 };
}

/** Returns the decayed sum at an instant. */
export function fadeRate(rate: Rate, now: number): number {
  const elapsed = Math.max(0, now - rate.updatedAt);
  return rate.sum * Math.exp(-elapsed / rate.timeConstantMs);
}

/** Adds an amount at an instant. */
export function addToRate(rate: Rate, amount: number, now: number): void {
  rate.sum = fadeRate(rate, now) + amount;
  rate.updatedAt = Math.max(rate.updatedAt, now);
}

/** Returns the amount per millisecond, averaged over about one time constant. */
export function readRate(rate: Rate, now: number): number {
  return fadeRate(rate, now) / rate.timeConstantMs;
}
