export {
  chooseEndpoint,
  hasSpareSlot,
  hasWindow,
  isBackedUp,
  PROMPT_TOKEN_COST,
  type Placing,
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
  type FirstToken,
} from './commands.js';
export type { Pace } from './pace.js';
export { countCached, expectPrefixes, recordCacheEvent, type CacheState } from './prefixCache.js';
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
