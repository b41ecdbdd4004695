/** A rate as an exponentially decaying sum of amounts. */
export interface DecayingRate {
  readonly timeConstantMs: number;
  /** Decayed sum at `updatedAt`. */
  sum: number;
  /** Instant of the latest amount, in milliseconds. */
  updatedAt: number;
}

/** Creates a rate of 0; its amounts decay to 1/e in each time constant, in milliseconds. */
export function createDecayingRate(timeConstantMs: number): DecayingRate {
  return { timeConstantMs, sum: 0, updatedAt: 0 };
}

/** Returns the decayed sum at an instant, in milliseconds. */
export function decayedSum(rate: DecayingRate, now: number): number {
  const elapsed = Math.max(0, now - rate.updatedAt);
  return rate.sum * Math.exp(-elapsed / rate.timeConstantMs);
}

/** Adds an amount at an instant. */
export function addToRate(rate: DecayingRate, amount: number, now: number): void {
  rate.sum = decayedSum(rate, now) + amount;
  rate.updatedAt = Math.max(rate.updatedAt, now);
}

/** Returns the amount per millisecond, averaged over about one time constant. */
export function ratePerMs(rate: DecayingRate, now: number): number {
  return decayedSum(rate, now) / rate.timeConstantMs;
}
