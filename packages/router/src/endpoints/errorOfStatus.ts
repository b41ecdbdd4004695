import type { IncomingHttpHeaders } from 'node:http';

import { AttemptError } from './attemptError.js';

const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;
const MS_PER_SECOND = 1000;
/** Longest part of the response's body that the error message quotes. */
const MAX_QUOTED_CHARACTERS = 200;

function readRetryAfterMs(headers: IncomingHttpHeaders): number | null {
  const seconds = Number(headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : null;
}

/**
 * Returns the error of an attempt that was answered with a status of 400 or more. With 429 and 503
 * the endpoint turned the request away before running it; `text` is the response's body.
 */
export function errorOfStatus(
  status: number,
  headers: IncomingHttpHeaders,
  text: string,
): AttemptError {
  const message = `status ${status}: ${text.slice(0, MAX_QUOTED_CHARACTERS)}`;
  if (status === TOO_MANY_REQUESTS || status === SERVICE_UNAVAILABLE) {
    const retryAfterMs = readRetryAfterMs(headers);
    return new AttemptError('refused', 'not-run', message, { status, retryAfterMs });
  }
  if (status < FIRST_SERVER_ERROR) {
    return new AttemptError('invalid', 'not-run', message, { status });
  }
  return new AttemptError('server-error', 'may-have-run', message, { status });
}
