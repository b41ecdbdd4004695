import { setTimeout as sleep } from 'node:timers/promises';

import { now } from '../clock.js';
import type { HostPort } from './address.js';
import { holdConnection } from './holdConnection.js';
import type { ListeningClock } from './silenceTimer.js';

/** Time-out for opening the connection; a lost packet is not waited for. */
const CONNECT_TIMEOUT_MS = 150;

/** The same for a repeated check: packets may wait for half a second on a link that is congested. */
const REPEATED_CONNECT_TIMEOUT_MS = 600;

/** Time-out for an answer on an open connection; a full endpoint takes longer. */
export const ANSWER_TIMEOUT_MS = 40;

/** Time before a check is repeated; doubled each time. */
const REPEAT_MS = 10;

/** Age of an end from which a crash has closed the port: connections are refused, not reset. */
const MIN_RESET_AGE_MS = 30;

/** Age of an end after which no check of it is begun: another process may have the port by then. */
const MAX_REPEAT_AGE_MS = 250;

/**
 * What a new connection shows of an endpoint whose answer ended with its connection; null when it
 * shows nothing.
 */
export type EndFinding = 'alive' | 'open' | 'ended' | null;

/** Opens a connection; `wasReset` says whether the one before was reset. */
export type EndConnector = (connectTimeoutMs: number, wasReset: boolean) => Promise<EndFinding>;

function hasCode(error: unknown, code: string): boolean {
  return error instanceof Error && (error as NodeJS.ErrnoException).code === code;
}

/**
 * Opens connections by `connect` until one shows whether the endpoint has outlived its answer, which
 * ended at `endedAt`; never rejects.
 */
export async function checkEnd(connect: EndConnector, endedAt: number): Promise<EndFinding> {
  let wasReset = false;
  const look = async (connectTimeoutMs: number): Promise<EndFinding> => {
    const isLate = now() >= endedAt + MIN_RESET_AGE_MS;
    try {
      const finding = await connect(connectTimeoutMs, wasReset);
      wasReset = false;
      return finding;
    } catch (error) {
      if (hasCode(error, 'ECONNREFUSED')) return 'ended';
      const isReset = hasCode(error, 'ECONNRESET');
      const isOpen = isReset && wasReset && isLate;
      wasReset = isReset;
      return isOpen ? 'open' : null;
    }
  };
  let finding = await look(CONNECT_TIMEOUT_MS);
  for (
    let waitMs = REPEAT_MS;
    finding === null && now() + waitMs < endedAt + MAX_REPEAT_AGE_MS;
    waitMs *= 2
  ) {
    await sleep(waitMs);
    finding = await look(REPEATED_CONNECT_TIMEOUT_MS);
  }
  return finding;
}

/** Finds out whether a port stays open; rejects when the connection is refused or reset. */
export async function checkPort(
  target: HostPort,
  clock: ListeningClock,
  connectTimeoutMs: number,
): Promise<EndFinding> {
  const holdMs = ANSWER_TIMEOUT_MS;
  return (await holdConnection(target, clock, { connectTimeoutMs, holdMs })) ? 'open' : null;
}
