export {
  chooseEndpoint,
  hasSpareSlot,
  hasWindowRoom,
  hasOverdueAttempt,
  PROMPT_TOKEN_COST,
  type EndpointQuery,
} from './chooseEndpoint.js';
export {
  addCriticalAttempt,
  endFirstTokenWait,
  recordAttemptSent,
  adaptWindow,
  recordAttemptDuration,
  recordLoadReport,
  releaseSlot,
  removeCriticalAttempt,
  reserveSlot,
  setShare,
  type FirstTokenObservation,
} from './commands.js';
export type { SpeedEstimate } from './speedEstimate.js';
export {
  cachedFraction,
  addExpectedPrefixes,
  recordCacheEvent,
  type PrefixCacheState,
} from './prefixCache.js';
export {
  countCritical,
  countInFlight,
  estimateLoad,
  firstTokenMs,
  hasReportedFreeSlot,
  isReportedFull,
  listActiveEndpoints,
  msPerToken,
  windowSize,
} from './queries.js';
export {
  createPlacementState,
  type EndpointLoad,
  type PlacementState,
  type PoolShare,
  type Subset,
} from './state.js';
export { chooseSubset } from './chooseSubset.js';
