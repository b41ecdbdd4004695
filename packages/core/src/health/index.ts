export {
  ejectEndpoint,
  recordFailure,
  recordProbe,
  recordSuccess,
  restoreEndpoint,
  takeProbes,
} from './commands.js';
export { listEjected, listUsable, phaseOf } from './queries.js';
export {
  compareMembers,
  isScanDue,
  scanProgress,
  type PhaseChange,
  type StreamProgress,
} from './detectStragglers.js';
export {
  createHealthState,
  type EjectionCause,
  type EndpointHealth,
  type HealthPhase,
  type HealthState,
} from './state.js';
