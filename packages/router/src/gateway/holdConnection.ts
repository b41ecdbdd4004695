import { connect } from 'node:net';

import type { HostPort } from './address.js';
import { SilenceTimer, type ListeningClock } from './silenceTimer.js';

/** Time-out for opening a connection, and how long it must stay open. */
export interface HoldTimes {
  readonly connectTimeoutMs: number;
  readonly holdMs: number;
}

/**
 * Opens a connection without a request; resolves with whether it opened in time and stayed open.
 * Rejects when it is refused or reset.
 */
export function holdConnection(
  target: HostPort,
  clock: ListeningClock,
  { connectTimeoutMs, holdMs }: HoldTimes,
): Promise<boolean> {
  const timer = new SilenceTimer(clock);
  const socket = connect({ ...target });
  return new Promise<boolean>((resolve, reject) => {
    timer.start(connectTimeoutMs, () => resolve(false));
    socket.on('connect', () => timer.start(holdMs, () => resolve(true)));
    socket.on('error', reject);
    socket.on('close', () => resolve(false));
    // The close follows turns later; the end is read only while the socket flows.
    socket.on('end', () => resolve(false));
    socket.resume();
  }).finally(() => {
    timer.stop();
    socket.destroy();
  });
}
