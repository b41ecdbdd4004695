import type { EndpointHealth, HealthState } from './state.js';

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 1000;
const LONGEST_EJECTION_MS = 30_000;

function healthOf(state: HealthState, endpointId: string): EndpointHealth {
  let health = state.endpoints.get(endpointId);
  if (health === undefined) {
    health = { consecutiveFailures: 0, ejectedUntil: 0, ejections: 0 };
    state.endpoints.set(endpointId, health);
  }
  return health;
}

/** Records an answer, which ends an ejection. */
export function recordSuccess(state: HealthState, endpointId: string): void {
  const health = healthOf(state, endpointId);
  health.consecutiveFailures = 0;
  health.ejectedUntil = 0;
  health.ejections = 0;
}

/** Records a failure; true when the endpoint is ejected by it. */
export function recordFailure(state: HealthState, endpointId: string, now: number): boolean {
  const health = healthOf(state, endpointId);
  health.consecutiveFailures += 1;
  if (health.consecutiveFailures < FAILURES_TO_EJECT) return false;
  const length = FIRST_EJECTION_MS * 2 ** Math.min(health.ejections, 10);
  health.ejectedUntil = now + Math.min(LONGEST_EJECTION_MS, length);
  health.ejections += 1;
  return true;
}
