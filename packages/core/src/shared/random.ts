import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers; the same seed gives the same numbers. */
export interface Random {
  /** Returns a number from 0 up to, not including, 1. */
  next(): number;
}

/** Creates a random source from a seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}

/** Returns a whole number from 0 up to, not including, `bound`. */
export function nextInteger(random: Random, bound: number): number {
  return Math.floor(random.next() * bound);
}
