import type { buildConnector, Client } from 'undici';

import { createBoundedClient } from '../bounds/index.js';
import type { GuardedClient } from './guardedClient.js';

/** A health answer has a few bytes; of a longer one the head is known before this. */
const MAX_CHECK_ANSWER_BYTES = 262_144;

/** Longer than all time-outs of checks, which end them. */
const MAX_SILENCE_MS = 10_000;

/** Creates the client of one health check of an endpoint; `options` are those of several. */
export function createCheckClient(
  address: string,
  connect: buildConnector.connector,
  options: Pick<
    Client.Options,
    'keepAliveTimeout' | 'keepAliveTimeoutThreshold' | 'pipelining'
  > = {},
): GuardedClient {
  return createBoundedClient(`http://${address}`, {
    ...options,
    connect,
    headersTimeout: MAX_SILENCE_MS,
    bodyTimeout: MAX_SILENCE_MS,
    maxResponseSize: MAX_CHECK_ANSWER_BYTES,
  });
}
