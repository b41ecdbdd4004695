import type { RegisteredEndpoint } from '@filbertlatch/core';
import { buildConnector, type Client } from 'undici';

import { createCheckClient } from './checkClient.js';
import { isConnectionReset } from './isConnectionReset.js';
import type { LoopDelay } from './loopDelay.js';
import { SilenceTimer } from './silenceTimer.js';

/**
 * What a check of the link to an endpoint shows: it answers; it can be reached but does not answer, or
 * resets the connection, as when it is full; it cannot be reached.
 */
export type LinkState = 'answers' | 'silent' | 'unreachable';

/** Time-out for opening the connection; nothing answers on a link that loses packets. */
const CONNECT_TIMEOUT_MS = 250;

/** Time-out for the answer on an open connection. */
const ANSWER_TIMEOUT_MS = 250;

/** Sends a health check to an endpoint on a new connection; never rejects. */
export async function checkLink(
  endpoint: RegisteredEndpoint,
  path: string,
  loopDelay: LoopDelay,
): Promise<LinkState> {
  let isOpen = false;
  // The library's own time-outs are about a second longer than they say.
  const openSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const timer = new SilenceTimer(loopDelay);
  let client: Client | null = null;
  let endWait = () => {};
  const late = new Promise<void>((resolve) => {
    endWait = resolve;
  });
  const giveUp = () => {
    endWait();
    void client?.destroy();
  };
  client = createCheckClient(endpoint.address, (target, callback) => {
    openSocket(target, (...result) => {
      isOpen = result[0] === null || isConnectionReset(result[0]);
      timer.start(ANSWER_TIMEOUT_MS, giveUp);
      callback(...result);
    });
  });
  timer.start(CONNECT_TIMEOUT_MS, giveUp);
  try {
    const answer = await client.request({ method: 'GET', path });
    answer.body.on('error', () => {
      // The status suffices.
    });
    return 'answers';
  } catch {
    if (!isOpen) return 'unreachable';
    // Of a full endpoint, bytes on other connections come meanwhile.
    await late;
    return 'silent';
  } finally {
    timer.stop();
    void client.destroy();
  }
}
