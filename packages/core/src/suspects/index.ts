export {
  clearCrashes,
  removeExpiredCrashes,
  enqueueSuspect,
  recordPeerCrashes,
  recordCrash,
  releaseSuspect,
} from './commands.js';
export {
  CRASH_TTL_MS,
  hasCrashedEndpoint,
  hasRecordedCrashes,
  isReservedForSuspect,
  classifyRequest,
  countCrashes,
  countKnownCrashes,
  listCrashes,
  type CrashCount,
  type CrashReport,
} from './queries.js';
export {
  createSuspectState,
  type Crash,
  type CrashHistory,
  type WaitingSuspect,
  type Isolation,
  type SuspectState,
} from './state.js';
