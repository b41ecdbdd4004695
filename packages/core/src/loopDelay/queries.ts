import type { LoopDelayState, LoopTurn } from './state.js';

/** Interval of the heartbeats, by which standstills are noticed. */
export const BEAT_INTERVAL_MS = 100;

/** Delay of a heartbeat from which a process may not have been run while it waited. */
const BEAT_TOLERANCE_MS = 20;

/** Delay of a heartbeat that is no standstill: the loop polls between its turns. */
export const MAX_BEAT_DELAY_MS = 100;

/** Returns how late the next heartbeat is, in milliseconds; 0 before it is due. */
export function overdueMs({ beatAt }: LoopDelayState, now: number): number {
  return Math.max(0, now - beatAt - BEAT_INTERVAL_MS);
}

/**
 * Returns an upper bound of the age of bytes that wait in sockets, or are read now, in milliseconds.
 * What arrived before the poll that came before the present one has been read: no more than the time
 * for which the loop was busy since then can have passed.
 */
export function unreadAgeMs(state: LoopDelayState, turn: LoopTurn): number {
  const { previous } = state;
  const elapsedMs = turn.at - previous.at;
  // A process that was not run counts the time as idle.
  if (overdueMs(state, turn.at) > BEAT_TOLERANCE_MS) return elapsedMs;
  return Math.max(0, elapsedMs - (turn.idleMs - previous.idleMs));
}

/** Returns the time since an instant in which the loop polled, in milliseconds. */
export function listenedMs(state: LoopDelayState, since: number, now: number): number {
  const { standstills } = state;
  const lateMs = overdueMs(state, now);
  let lostMs = lateMs > MAX_BEAT_DELAY_MS ? Math.min(lateMs, now - since) : 0;
  for (let index = standstills.length - 1; index >= 0; index -= 1) {
    const { endedAt, lengthMs } = standstills[index]!;
    if (endedAt <= since) break;
    lostMs += Math.min(lengthMs, endedAt - since);
  }
  return Math.max(0, now - since - lostMs);
}

/** Returns the instant since which the loop has polled for a time, in milliseconds. */
export function listenedSince(state: LoopDelayState, forMs: number, now: number): number {
  const { standstills } = state;
  const lateMs = overdueMs(state, now);
  let since = now - (lateMs > MAX_BEAT_DELAY_MS ? lateMs : 0);
  let leftMs = forMs;
  for (let index = standstills.length - 1; index >= 0; index -= 1) {
    const { endedAt, lengthMs } = standstills[index]!;
    if (since - endedAt >= leftMs) break;
    leftMs -= since - endedAt;
    since = endedAt - lengthMs;
  }
  return since - leftMs;
}
