import { OversizedAnswerError } from './oversizedAnswerError.js';

const QUOTE = 0x22;
const BACKSLASH = 0x5c;

/** Bytes outside strings after which a value begins. */
const COMMA = 0x2c;
const BRACKET = 0x5b;
const BRACE = 0x7b;

/** Returns the index of the quote that ends a string; the length of the text when none does. */
function findStringEnd(text: Buffer, start: number): number {
  let end = text.indexOf(QUOTE, start + 1);
  while (end !== -1) {
    let before = end - 1;
    while (text[before] === BACKSLASH) before -= 1;
    if ((end - before) % 2 === 1) return end;
    end = text.indexOf(QUOTE, end + 1);
  }
  return text.length;
}

function hasMoreValues(text: Buffer, maxValues: number): boolean {
  let count = 0;
  for (let at = 0; at < text.length && count <= maxValues; at += 1) {
    const byte = text[at];
    if (byte === QUOTE) at = findStringEnd(text, at);
    else if (byte === COMMA || byte === BRACKET || byte === BRACE) count += 1;
  }
  return count > maxValues;
}

/**
 * Parses JSON; throws OversizedAnswerError when it may have more than `maxValues` values, each of which
 * takes many times the memory of its bytes.
 */
export function parseBoundedJson(text: Buffer | string, maxValues: number): unknown {
  const bytes = typeof text === 'string' ? Buffer.from(text) : text;
  if (hasMoreValues(bytes, maxValues)) {
    throw new OversizedAnswerError(`a JSON text has more than ${maxValues} values`);
  }
  return JSON.parse(bytes.toString('utf8'));
}
