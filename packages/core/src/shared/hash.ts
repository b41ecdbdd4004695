import { xxHash32 } from 'js-xxhash';

const HEXADECIMAL_RADIX = 16;
/** Digits of a 32-bit hash. */
const HEXADECIMAL_DIGITS_PER_HASH = 8;

/** Hash seeds of the two halves of a digest. */
const DIGEST_SEEDS = [0, 1];

/** Returns the 32-bit xxHash of a text; not cryptographic, the same on every VM. */
export function hashText(text: string): number {
  return xxHash32(text);
}

/** Returns 64 bits of xxHash of a text as 16 hexadecimal digits; not cryptographic. */
export function digestText(text: string): string {
  const halves = DIGEST_SEEDS.map((seed) => xxHash32(text, seed));
  return halves
    .map((half) => half.toString(HEXADECIMAL_RADIX).padStart(HEXADECIMAL_DIGITS_PER_HASH, '0'))
    .join('');
}
