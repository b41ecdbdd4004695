import { AttemptError } from './attemptError.js';
import type { Chunk } from './engineProtocol.js';
import { isChunk } from './isChunk.js';

/** One event of an engine's stream: its data as received, and parsed. */
export interface StreamEvent {
  readonly data: string;
  readonly chunk: Chunk;
}

/**
 * Parses an event's data. Throws AttemptError when it is malformed or carries the id of another
 * attempt.
 */
export function readEvent(data: string, attemptId: string): StreamEvent {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch (cause) {
    throw new AttemptError('malformed', 'ran', 'an event is not JSON', { cause });
  }
  if (!isChunk(value)) throw new AttemptError('malformed', 'ran', 'an event lacks its fields');
  if (value.id !== attemptId) {
    throw new AttemptError('echo-mismatch', 'may-have-run', `answer to ${value.id}`);
  }
  return { data, chunk: value };
}

/** Returns whether an event carries a token. */
export function hasToken({ chunk }: StreamEvent): boolean {
  for (const { delta, text } of chunk.choices) {
    const content = delta?.content ?? text;
    if (content !== undefined && content !== null && content !== '') return true;
    if (delta?.tool_calls !== undefined) return true;
  }
  return false;
}

const ID_PREFIX = '{"id":"';
const ID_SUFFIX = '",';

/** Returns the index after the id in data that begins with the id; -1 for any other data. */
function indexAfterId(data: string, id: string): number {
  const end = ID_PREFIX.length + id.length;
  // A line break in the data would end the event that the caller receives too early.
  const isPlain =
    data.startsWith(ID_PREFIX) &&
    data.startsWith(id, ID_PREFIX.length) &&
    data.startsWith(ID_SUFFIX, end) &&
    !data.includes('\n');
  return isPlain ? end + ID_SUFFIX.length : -1;
}

/** Returns an event's data with the request's id in place of the attempt's, as one line of JSON. */
export function replaceEventId({ data, chunk }: StreamEvent, requestId: string): string {
  // Hot path: engines write the id first, so that the rest is copied and not serialized again.
  const rest = indexAfterId(data, chunk.id);
  if (rest < 0) return JSON.stringify({ ...chunk, id: requestId });
  return `${ID_PREFIX}${requestId}${ID_SUFFIX}${data.slice(rest)}`;
}
