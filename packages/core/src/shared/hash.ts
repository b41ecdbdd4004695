import xxhash from 'xxhash-wasm';

const { h32, h64ToString } = await xxhash();

/** Returns a 32-bit hash of a text; the same on every VM. */
export function hashText(text: string): number {
  return h32(text);
}

/** Returns a 64-bit hash of a text in hexadecimal; the same on every VM. */
export function digestText(text: string): string {
  return h64ToString(text);
}
