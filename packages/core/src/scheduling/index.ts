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
  workOf,
  type PlannedWork,
  type SentWork,
} from './commands.js';
export { divideEngines, type EngineDivision } from './divideEngines.js';
export type { GenerationSize, Job, PromptPart } from './job.js';
export { ownPace, paceOf, stepPaceOf } from './pace.js';
export { placeJob, type Placement, type PlacementContext } from './place.js';
export {
  learnReads,
  recordPrompt,
  takeUntold,
  uncachedTokens,
  type PartRead,
  type PromptCaches,
} from './promptCaches.js';
export { kindOfRoute, ownDemand, totalDemand, totalLoad } from './queries.js';
export {
  createSchedulingState,
  createWorkLoad,
  type EndpointWork,
  type RouteProfile,
  type WorkKind,
  type PeerWork,
  type SchedulingState,
  type ToldPace,
  type WorkLoad,
} from './state.js';
