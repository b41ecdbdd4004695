import type { ActionOf } from '@filbertlatch/core';
import type { Dispatcher } from 'undici';

import { readBytes, readText } from '../bounds/index.js';
import type { ServiceAnswer } from '../callers/exchange.js';
import { isFramed } from '../gateway/headers.js';
import { AttemptError } from './attemptError.js';
import { REQUEST_ID_HEADER } from './engineProtocol.js';
import { errorOfStatus } from './errorOfStatus.js';

const FIRST_SERVER_ERROR = 500;

/** An error has a message of a few lines. */
const MAX_ERROR_BYTES = 1_048_576;

/** Statuses of answers without a body. */
const BODILESS_STATUSES = new Set([204, 304]);

/**
 * Throws AttemptError for a plain service's status of 500 or more. A lower status is part of its
 * answer. Unlike an engine's 503, a service's 503 does not promise that the request did not run.
 */
export async function checkStatus(response: Dispatcher.ResponseData): Promise<void> {
  const { statusCode: status, headers } = response;
  if (status < FIRST_SERVER_ERROR) return;
  const text = await readText(response.body, MAX_ERROR_BYTES);
  const { message, retryAfterMs } = errorOfStatus(status, headers, text);
  const details = { status, retryAfterMs };
  throw new AttemptError('server-error', 'may-have-run', message, details);
}

/** Headers of the service's connection, which don't hold for the caller's. */
const DROPPED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
]);

/** Says whether nothing but the end of the connection tells that an answer is whole. */
function endsWithConnection({ statusCode, headers }: Dispatcher.ResponseData): boolean {
  const names = Object.keys(headers).flatMap((name) => [name, '']);
  return !BODILESS_STATUSES.has(statusCode) && !isFramed(names);
}

/**
 * Reads a plain service's complete answer. `hasOutlived` finds out whether the service has outlived an
 * answer that ended with its connection. Throws AttemptError when it has not, and when the service did
 * not echo the attempt's id.
 */
export async function readServiceAnswer(
  { attempt }: ActionOf<'dispatch'>,
  response: Dispatcher.ResponseData,
  hasOutlived: () => Promise<boolean>,
): Promise<ServiceAnswer> {
  const echoed = response.headers[REQUEST_ID_HEADER];
  if (echoed !== attempt.id) {
    throw new AttemptError('echo-mismatch', 'may-have-run', `answer to ${String(echoed)}`);
  }
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(response.headers)) {
    if (typeof value === 'string' && !DROPPED_HEADERS.has(name)) headers[name] = value;
  }
  // The endpoint's connections limit it.
  const body = await readBytes(response.body, Number.POSITIVE_INFINITY);
  if (endsWithConnection(response) && !(await hasOutlived())) {
    throw new AttemptError('reset', 'may-have-run', 'the end of the answer is not shown');
  }
  return { status: response.statusCode, headers, body };
}
