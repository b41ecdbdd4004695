/** A rate that forgets: each amount fades with the time constant. */
export interface Rate {
  readonly timeConstantMs: number;
  sum: number;
  updatedAt: number;
}

/** Creates a rate of nothing so far; the time constant is in milliseconds. */
export function createRate(timeConstantMs: number): Rate {
  return { timeConstantMs, sum: 0, updatedAt: 0 };
}

/** Returns what is left of the sum at an instant. */
export function fadeRate(rate: Rate, now: number): number {
  const elapsed = Math.max(0, now - rate.updatedAt);
  return rate.sum * Math.exp(-elapsed / rate.timeConstantMs);
}

/** Adds an amount at an instant. */
export function addToRate(rate: Rate, amount: number, now: number): void {
  rate.sum = fadeRate(rate, now) + amount;
  rate.updatedAt = Math.max(rate.updatedAt, now);
}

/** Returns the amount per millisecond lately. */
export function readRate(rate: Rate, now: number): number {
  return fadeRate(rate, now) / rate.timeConstantMs;
}
