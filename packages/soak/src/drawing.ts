import { randomInteger, type Random } from '@filbertlatch/core';

/** Draws an integer between two. */
export function drawBetween(random: Random, min: number, max: number): number {
  return Math.round(min + random.next() * (max - min));
}

/** Draws one of some values. */
export function pickOne<T>(random: Random, values: readonly T[]): T {
  return values[randomInteger(random, values.length)] as T;
}
