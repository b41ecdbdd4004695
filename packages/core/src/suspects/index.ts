export {
  clearCrashes,
  removeExpiredCrashes,
  enqueueSuspect,
  recordPeerAnswers,
  recordPeerCrashes,
  recordPeerRefusals,
  recordCrash,
  releaseSuspect,
  removeCrashes,
} from './commands.js';
export {
  recordEndpointAlive,
  recordEndpointEnd,
  recordEndpointHeard,
  recordLostAttempt,
  removeExpiredTraces,
  removeLostAttempts,
  type EndedAttempt,
  type EndTime,
} from './lostAttempts.js';
export {
  MAX_REPORTED_CRASHES,
  takeAnswerReports,
  takeCrashReports,
  takeRefusalReports,
  type RequestTime,
} from './crashReports.js';
export {
  CRASH_TTL_MS,
  hasBrokenAttempts,
  hasCrashedEndpoint,
  hasLostAttempts,
  hasRecordedCrashes,
  isReservedForSuspect,
  classifyRequest,
  countCrashes,
  countKnownCrashes,
  type CrashCount,
  type CrashReport,
} from './queries.js';
export {
  createSuspectState,
  type AttemptTrial,
  type Crash,
  type CrashHistory,
  type EndpointTrace,
  type LostAttempt,
  type TracedAttempt,
  type WaitingSuspect,
  type Isolation,
  type SuspectState,
} from './state.js';
