import type { ActionOf } from '@filbertlatch/core';
import type { Dispatcher } from 'undici';

import type { ServiceAnswer } from '../callers/exchange.js';
import { AttemptError } from './attemptError.js';
import { REQUEST_ID_HEADER } from './engineProtocol.js';
import { errorOfStatus } from './errorOfStatus.js';

const FIRST_SERVER_ERROR = 500;

/**
 * Throws AttemptError for a plain service's status of 500 or more. A lower status is part of its
 * answer. Unlike an engine's 503, a service's 503 does not promise that the request did not run.
 */
export async function checkStatus(response: Dispatcher.ResponseData): Promise<void> {
  const { statusCode: status, headers } = response;
  if (status < FIRST_SERVER_ERROR) return;
  const { message, retryAfterMs } = errorOfStatus(status, headers, await response.body.text());
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

/**
 * Reads a plain service's complete answer. Throws AttemptError when the service did not echo the
 * attempt's id.
 */
export async function readServiceAnswer(
  { attempt }: ActionOf<'dispatch'>,
  response: Dispatcher.ResponseData,
): Promise<ServiceAnswer> {
  const echoed = response.headers[REQUEST_ID_HEADER];
  if (echoed !== attempt.id) {
    throw new AttemptError('echo-mismatch', 'may-have-run', `answer to ${String(echoed)}`);
  }
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(response.headers)) {
    if (typeof value === 'string' && !DROPPED_HEADERS.has(name)) headers[name] = value;
  }
  const body = Buffer.from(await response.body.arrayBuffer());
  return { status: response.statusCode, headers, body };
}
