import type { RegisteredEndpoint } from '@filbertlatch/core';
import { buildConnector, Client } from 'undici';

import { now } from '../clock.js';

/**
 * What a check of the link to an endpoint shows: it answers; it can be reached but does not answer,
 * as when it is full; it cannot be reached.
 */
export type LinkState = 'answers' | 'silent' | 'unreachable';

/** Time-out for opening the connection; nothing answers on a link that loses packets. */
const CONNECT_TIMEOUT_MS = 250;

/** Time-out for the answer on an open connection. */
const ANSWER_TIMEOUT_MS = 250;

/** A time-out that is noticed later than this is waited for again. */
const MAX_LAG_MS = 50;

/** Sends a health check to an endpoint on a new connection; never rejects. */
export async function checkLink(endpoint: RegisteredEndpoint, path: string): Promise<LinkState> {
  let isOpen = false;
  let isLate = false;
  // The library's own time-outs are about a second longer than they say.
  const openSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let timer: NodeJS.Timeout | null = null;
  let client: Client | null = null;
  const startTimer = (ms: number) => {
    if (timer !== null) clearTimeout(timer);
    const dueAt = now() + ms;
    timer = setTimeout(() => {
      // This process was late itself.
      if (now() - dueAt > MAX_LAG_MS) {
        startTimer(ms);
        return;
      }
      // After a poll for what has arrived meanwhile.
      setImmediate(() => {
        isLate = true;
        void client?.destroy();
      });
    }, ms);
  };
  client = new Client(`http://${endpoint.address}`, {
    connect: (target, callback) => {
      openSocket(target, (...result) => {
        isOpen = result[0] === null;
        startTimer(ANSWER_TIMEOUT_MS);
        callback(...result);
      });
    },
  });
  startTimer(CONNECT_TIMEOUT_MS);
  try {
    const answer = await client.request({ method: 'GET', path });
    answer.body.on('error', () => {
      // The status suffices.
    });
    return 'answers';
  } catch {
    return isOpen && isLate ? 'silent' : 'unreachable';
  } finally {
    clearTimeout(timer!);
    void client.destroy();
  }
}
