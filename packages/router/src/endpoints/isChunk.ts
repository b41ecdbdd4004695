import type { Chunk } from './engineProtocol.js';

// Hot path: runs for every token. These functions repeat `chunkSchema` by hand, because validating
// with the schema costs several times as much as all other work on an event.

function isOptionalText(value: unknown): boolean {
  return value === undefined || value === null || typeof value === 'string';
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isDelta(value: unknown): boolean {
  if (value === undefined) return true;
  if (!isObject(value)) return false;
  return (
    (value.role === undefined || typeof value.role === 'string') && isOptionalText(value.content)
  );
}

function isChoice(value: unknown): boolean {
  if (!isObject(value)) return false;
  const { index, text } = value;
  if (!Number.isSafeInteger(index) || (index as number) < 0) return false;
  if (text !== undefined && typeof text !== 'string') return false;
  return isOptionalText(value.finish_reason) && isDelta(value.delta);
}

function isUsage(value: unknown): boolean {
  if (value === undefined || value === null) return true;
  if (!isObject(value)) return false;
  const { completion_tokens: tokens } = value;
  return tokens === undefined || Number.isFinite(tokens);
}

/** Returns whether a value matches `chunkSchema`. */
export function isChunk(value: unknown): value is Chunk {
  if (!isObject(value) || typeof value.id !== 'string') return false;
  if (!Array.isArray(value.choices) || !value.choices.every(isChoice)) return false;
  return isUsage(value.usage);
}
