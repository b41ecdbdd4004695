export { chooseEndpoint, hasWindow, PROMPT_TOKEN_COST, type Placing } from './chooseEndpoint.js';
export {
  noteSent,
  observeFirstTokenAt,
  observePace,
  openWindow,
  recordReport,
  releaseSlot,
  reserveSlot,
  type FirstToken,
} from './commands.js';
export type { Pace } from './pace.js';
export { countCached, expectPrefixes, recordCacheEvent, type CacheState } from './prefixCache.js';
export {
  countInFlight,
  estimateLoad,
  firstTokenMs,
  hasReportedRoom,
  listActiveEndpoints,
  msPerToken,
  windowOf,
} from './queries.js';
export {
  createPlacementState,
  type EndpointLoad,
  type PlacementState,
  type Subset,
} from './state.js';
export { chooseSubset } from './chooseSubset.js';
