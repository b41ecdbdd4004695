import { findHeader } from './headers.js';

const EVENT_STREAM = 'text/event-stream';

/** Says whether an answer is a stream of events by its headers; null when they name no type. */
export function isEventStream(headers: readonly string[]): boolean | null {
  const contentType = findHeader(headers, 'content-type');
  if (contentType === null) return null;
  return contentType.split(';')[0]!.trim().toLowerCase() === EVENT_STREAM;
}
