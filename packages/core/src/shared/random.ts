import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of pseudo-random numbers: the same seed gives the same numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
}

/** Draws that are discarded: the first ones of neighbouring seeds are correlated. */
const WARM_UP_DRAWS = 32;

/** Creates a random source from a seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < WARM_UP_DRAWS; skipped += 1) uniformFloat64(generator);
  return { next: () => uniformFloat64(generator) };
}

/** Returns an integer in [0, `bound`). */
export function randomInteger(random: Random, bound: number): number {
  return Math.floor(random.next() * bound);
}

/**
 * Returns a log-normally distributed number; `spread` is the standard deviation of its logarithm.
 */
export function randomLogNormal(random: Random, median: number, spread: number): number {
  // Box-Muller transform.
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return median * Math.exp(spread * normal);
}
