import { parse, validate, version } from 'uuid';

const TIMED_UUID_VERSION = 7;
const TIME_BYTES = 6;
const ULID = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/i;
const ULID_DIGITS = '0123456789ABCDEFGHJKMNPQRSTVWXYZ';
const ULID_TIME_DIGITS = 10;

function uuidTime(key: string): number | null {
  if (!validate(key) || version(key) !== TIMED_UUID_VERSION) return null;
  return Buffer.from(parse(key)).readUIntBE(0, TIME_BYTES);
}

function ulidTime(key: string): number | null {
  if (!ULID.test(key)) return null;
  const digits = [...key.slice(0, ULID_TIME_DIGITS).toUpperCase()];
  return digits.reduce((time, digit) => time * ULID_DIGITS.length + ULID_DIGITS.indexOf(digit), 0);
}

/** Reads when a key was issued, epoch milliseconds, from a ULID or UUIDv7; null in any other. */
export function keyIssueTime(key: string): number | null {
  return uuidTime(key) ?? ulidTime(key);
}
