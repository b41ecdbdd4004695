import type { IncomingHttpHeaders } from 'node:http';

import { AttemptError } from './attemptError.js';

const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;
const MS_PER_SECOND = 1000;
const LONGEST_TEXT = 200;

function readRetryAfter(headers: IncomingHttpHeaders): number | null {
  const seconds = Number(headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : null;
}

/** Returns what an endpoint's status from 400 on says of an attempt. */
export function errorOfStatus(
  status: number,
  headers: IncomingHttpHeaders,
  text: string,
): AttemptError {
  const message = `status ${status}: ${text.slice(0, LONGEST_TEXT)}`;
  if (status === TOO_MANY_REQUESTS || status === UNAVAILABLE) {
    const retryAfterMs = readRetryAfter(headers);
    return new AttemptError('refused', 'not-run', message, { status, retryAfterMs });
  }
  if (status < FIRST_SERVER_ERROR) {
    return new AttemptError('invalid', 'not-run', message, { status });
  }
  return new AttemptError('server-error', 'may-have-run', message, { status });
}
