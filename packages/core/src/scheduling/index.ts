export {
  recordFirstEvent,
  recordEnd,
  resetEndpointWork,
  dropStaleWork,
  recordPeerWork,
  recordArrival,
  recordOutcome,
  recordPlacedSize,
  recordStepPace,
  recordSend,
  getOrCreateEndpointWork,
  type PlannedWork,
  type SentWork,
} from './commands.js';
export { sharedSegments } from './costs.js';
export { divideEngines, type EngineDivision } from './divideEngines.js';
export type { GenerationSize, Job, PromptSegment } from './job.js';
export { ownPaceSums, meanFirstEventPace, meanStepPace } from './pace.js';
export { placeJob, type Placement, type PlacementContext } from './placeJob.js';
export {
  recordPeerReads,
  recordReads,
  takeUnsentReads,
  uncachedTokens,
  type SegmentRead,
  type PrefixCacheEstimate,
} from './prefixCacheEstimate.js';
export { kindOfRoute, listTrialEndpoints, ownDemand, totalDemand, totalLoad } from './queries.js';
export {
  createSchedulingState,
  createWorkLoad,
  type EndpointWork,
  type RouteProfile,
  type WorkKind,
  type PeerWork,
  type SchedulingState,
  type PaceSums,
  type WorkLoad,
} from './state.js';
