import { MAX_BEAT_DELAY_MS, overdueMs } from './queries.js';
import type { LoopDelayState, LoopTurn } from './state.js';

/** Most standstills that are kept. */
const MAX_STANDSTILLS = 256;

/** Records an instant between two polls; `turn` is later than all before. */
export function recordTurn(state: LoopDelayState, turn: LoopTurn): void {
  state.previous = state.latest;
  state.latest = turn;
}

/**
 * Records a heartbeat, due every `BEAT_INTERVAL_MS`; one that is late ends a standstill. Returns the
 * length of the standstill in milliseconds, 0 without one.
 */
export function recordBeat(state: LoopDelayState, now: number): number {
  const lateMs = overdueMs(state, now);
  state.beatAt = now;
  if (lateMs <= MAX_BEAT_DELAY_MS) return 0;
  const { standstills } = state;
  standstills.push({ endedAt: now, lengthMs: lateMs });
  if (standstills.length > MAX_STANDSTILLS) standstills.shift();
  return lateMs;
}
