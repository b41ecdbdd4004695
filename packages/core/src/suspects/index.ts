export {
  clearSuspect,
  fadeEvidence,
  isolateRequest,
  learnCrashes,
  recordCrash,
  releaseSuspect,
} from './commands.js';
export {
  FADE_MS,
  hasCrashed,
  hasEvidence,
  isKeptFree,
  judgeRequest,
  listCrashes,
  type CrashNews,
} from './queries.js';
export {
  createSuspectState,
  type Crash,
  type Evidence,
  type Isolated,
  type Isolation,
  type SuspectState,
} from './state.js';
