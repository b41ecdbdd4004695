import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers; the same seed gives the same numbers. */
export interface Random {
  /** Returns a number from 0 up to, not including, 1. */
  next(): number;
}

// Neighbouring seeds give neighbouring first numbers; later ones are apart.
const WARM_UP = 32;

/** Creates a random source from a seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < WARM_UP; skipped += 1) uniformFloat64(generator);
  return { next: () => uniformFloat64(generator) };
}

/** Returns a whole number from 0 up to, not including, `bound`. */
export function nextInteger(random: Random, bound: number): number {
  return Math.floor(random.next() * bound);
}

/** Returns a number of a log-normal distribution; `spread` is the logarithm's deviation. */
export function nextLogNormal(random: Random, median: number, spread: number): number {
  // Box-Muller.
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return median * Math.exp(spread * normal);
}
