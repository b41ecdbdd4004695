export {
  beginStreaming,
  endWork,
  forgetLifetime,
  forgetStale,
  learnPeerWork,
  noteArrival,
  observeOutcome,
  observeStream,
  startWork,
  getOrCreateWork,
  type PlannedWork,
  type SentWork,
} from './commands.js';
export { divideEngines, type EngineDivision } from './divideEngines.js';
export type { GenerationSize, Job, PromptPart } from './job.js';
export { ownPace, meanFirstEventPace, meanStepPace } from './pace.js';
export { placeJob, type Placement, type PlacementContext } from './placeJob.js';
export {
  learnReads,
  recordPrompt,
  takeUntold,
  uncachedTokens,
  type PartRead,
  type PrefixCacheEstimate,
} from './prefixCacheEstimate.js';
export { kindOfRoute, ownDemand, totalDemand, totalLoad } from './queries.js';
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
