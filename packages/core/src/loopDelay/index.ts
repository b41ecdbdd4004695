export { recordBeat, recordTurn } from './commands.js';
export { BEAT_INTERVAL_MS, listenedMs, listenedSince, unreadAgeMs } from './queries.js';
export {
  createLoopDelayState,
  type LoopDelayState,
  type LoopTurn,
  type Standstill,
} from './state.js';
