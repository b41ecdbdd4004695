export {
  clearCrashes,
  removeExpiredCrashes,
  enqueueSuspect,
  recordPeerCrashes,
  recordCrash,
  releaseSuspect,
} from './commands.js';
export {
  recordEndpointAlive,
  recordEndpointEnd,
  recordLostAttempt,
  removeExpiredTraces,
} from './lostAttempts.js';
export {
  CRASH_TTL_MS,
  hasCrashedEndpoint,
  hasLostAttempts,
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
  type EndpointTrace,
  type LostAttempt,
  type WaitingSuspect,
  type Isolation,
  type SuspectState,
} from './state.js';
