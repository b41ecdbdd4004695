export { recordFailure, recordSuccess } from './commands.js';
export { listEjected, listUsable } from './queries.js';
export { createHealthState, type EndpointHealth, type HealthState } from './state.js';
