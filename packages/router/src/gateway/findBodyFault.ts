import type { Route } from '@filbertlatch/core';

import type { RawAnswerHead } from './attempt.js';
import { isEventStream } from './eventStream.js';
import { findHeader } from './headers.js';

const OK_STATUS = 200;

function isStream({ status, headers }: RawAnswerHead, isResumed: boolean): boolean {
  // Nothing but its type tells whether an answer goes on with the events of another.
  return status === OK_STATUS && (isEventStream(headers) ?? !isResumed);
}

/**
 * Returns why the body of a successful answer cannot be what the caller asked for; null without a
 * reason. `isResumed` is true for an answer that goes on with a stream which another has begun.
 */
export function findBodyFault(
  head: RawAnswerHead,
  { repetition }: Route,
  isResumed: boolean,
): string | null {
  const isStray = repetition === 'streaming' && !isStream(head, isResumed);
  if (isStray) return 'answer is no stream of events';
  // Callers ask for bodies without one.
  const isEncoded = findHeader(head.headers, 'content-encoding') !== null;
  return isEncoded ? 'answer has a content encoding' : null;
}
