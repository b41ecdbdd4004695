import { parse, validate, version } from 'uuid';

/** UUIDv7 begins with its time in epoch milliseconds, 48 bits. */
const UUID_VERSION_WITH_TIME = 7;
const UUID_TIME_BYTES = 6;
const ULID_PATTERN = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/i;
/** Crockford's base 32; a ULID's first ten digits are its time in epoch milliseconds. */
const ULID_DIGITS = '0123456789ABCDEFGHJKMNPQRSTVWXYZ';
const ULID_TIME_DIGITS = 10;

function uuidTimeMs(key: string): number | null {
  if (!validate(key) || version(key) !== UUID_VERSION_WITH_TIME) return null;
  return Buffer.from(parse(key)).readUIntBE(0, UUID_TIME_BYTES);
}

function ulidTimeMs(key: string): number | null {
  if (!ULID_PATTERN.test(key)) return null;
  const digits = [...key.slice(0, ULID_TIME_DIGITS).toUpperCase()];
  return digits.reduce((time, digit) => time * ULID_DIGITS.length + ULID_DIGITS.indexOf(digit), 0);
}

/**
 * Returns when an idempotency key was issued, in epoch milliseconds: the time that a ULID or UUIDv7
 * contains, null for any other key.
 */
export function keyIssueTime(key: string): number | null {
  return uuidTimeMs(key) ?? ulidTimeMs(key);
}
