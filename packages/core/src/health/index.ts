export {
  ejectEndpoint,
  forgetFailures,
  recordFailure,
  recordProbeResult,
  recordSuccess,
  resetEndpointHealth,
  restoreEndpoint,
  takeDueProbes,
} from './commands.js';
export { listEjectedEndpoints, listUsableEndpoints, getHealthPhase } from './queries.js';
export {
  detectStragglers,
  isScanDue,
  measureTokenGaps,
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
