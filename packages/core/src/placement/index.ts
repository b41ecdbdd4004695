export {
  chooseEndpoint,
  hasSpareSlot,
  hasWindow,
  isBackedUp,
  PROMPT_TOKEN_COST,
  type EndpointQuery,
} from './chooseEndpoint.js';
export {
  addCritical,
  noteAnswered,
  noteSent,
  observeFirstTokenAt,
  observePace,
  recordReport,
  releaseSlot,
  removeCritical,
  reserveSlot,
  setPart,
  type FirstTokenObservation,
} from './commands.js';
export type { SpeedEstimate } from './speedEstimate.js';
export {
  cachedFraction,
  expectPrefixes,
  recordCacheEvent,
  type PrefixCacheState,
} from './prefixCache.js';
export {
  countCritical,
  countInFlight,
  estimateLoad,
  firstTokenMs,
  hasReportedRoom,
  isReportedFull,
  listActiveEndpoints,
  msPerToken,
  windowOf,
} from './queries.js';
export {
  createPlacementState,
  type EndpointLoad,
  type PlacementState,
  type PoolPart,
  type Subset,
} from './state.js';
export { chooseSubset } from './chooseSubset.js';
