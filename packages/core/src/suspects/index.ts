export {
  clearSuspect,
  fadeEvidence,
  isolateRequest,
  learnCrashes,
  recordCrash,
  releaseSuspect,
} from './commands.js';
export {
  CRASH_TTL_MS,
  hasCrashed,
  hasEvidence,
  isKeptFree,
  judgeRequest,
  listCrashes,
  type CrashNews,
} from './queries.js';
export {
  createSuspectState,
  type EndpointCrashes,
  type CrashHistory,
  type WaitingSuspect,
  type Isolation,
  type SuspectState,
} from './state.js';
