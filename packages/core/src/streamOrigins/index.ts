export {
  recordKnownSince,
  recordOrigin,
  recordPeerVersions,
  recordServingVersions,
  removeExpiredOrigins,
} from './commands.js';
export { canGoOn, originOf, type StreamOrigin } from './origin.js';
export {
  chooseOriginKeepers,
  findOnlyVersion,
  findOrigin,
  hasSeveralVersions,
  isOriginKeeper,
  listLatestOrigins,
  listOwnOrigins,
  listSeveralVersions,
  listVersions,
  mayHaveUnknownVersions,
  ORIGIN_TTL_MS,
  streamKey,
  type KeyedOrigin,
  type RecordedStream,
  type SeenVersion,
} from './queries.js';
export { createStreamOriginState, type RecordedOrigin, type StreamOriginState } from './state.js';
