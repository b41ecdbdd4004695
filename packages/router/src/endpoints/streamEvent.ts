import { AttemptError } from './attemptError.js';
import type { Chunk } from './engineProtocol.js';
import { isChunk } from './isChunk.js';

/** One event of an engine's stream: its text as it came, and what it says. */
export interface StreamEvent {
  readonly data: string;
  readonly chunk: Chunk;
}

/** Reads an event's data and checks that it answers this attempt. Throws AttemptError. */
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

/** Says whether an event carries a token. */
export function hasToken({ chunk }: StreamEvent): boolean {
  for (const { delta, text } of chunk.choices) {
    const content = delta?.content ?? text;
    if (content !== undefined && content !== null && content !== '') return true;
    if (delta?.tool_calls !== undefined) return true;
  }
  return false;
}

const ID_HEAD = '{"id":"';
const ID_TAIL = '",';

/** Says where the rest begins in an event that has its id first; -1 in any other. */
function findRest(data: string, id: string): number {
  const end = ID_HEAD.length + id.length;
  // A line break in the data would end the caller's event early.
  const isPlain =
    data.startsWith(ID_HEAD) &&
    data.startsWith(id, ID_HEAD.length) &&
    data.startsWith(ID_TAIL, end) &&
    !data.includes('\n');
  return isPlain ? end + ID_TAIL.length : -1;
}

/** Returns an event's text under the request's id: the endpoint's id names the attempt only. */
export function renameEvent({ data, chunk }: StreamEvent, requestId: string): string {
  // Hot path: engines write the id first, and then the rest need not be written out again.
  const rest = findRest(data, chunk.id);
  if (rest < 0) return JSON.stringify({ ...chunk, id: requestId });
  return `${ID_HEAD}${requestId}${ID_TAIL}${data.slice(rest)}`;
}
