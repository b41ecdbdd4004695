import createHashes from 'xxhash-wasm';

const hashes = await createHashes();

/** Returns a 64-bit hash of a text in hexadecimal; the same on every VM, not for secrets. */
export function hashText(text: string): string {
  return hashes.h64ToString(text);
}

/** Returns a 32-bit hash of a text; the same on every VM, not for secrets. */
export function hashNumber(text: string): number {
  return hashes.h32(text);
}
