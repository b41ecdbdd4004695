import {
  createEndpointHealth,
  type EjectionCause,
  type EndpointHealth,
  type HealthState,
} from './state.js';

/** Consecutive failures that eject a healthy endpoint. */
const FAILURES_TO_EJECT = 3;

/** Duration of the first ejection; each further one doubles it. */
const BASE_EJECTION_MS = 1000;

const MAX_EJECTION_MS = 30_000;

/** A probe without a result for this long is repeated. */
const PROBE_TIMEOUT_MS = 3000;

function getOrCreateHealth(state: HealthState, endpointId: string): EndpointHealth {
  let health = state.endpoints.get(endpointId);
  if (health === undefined) {
    health = createEndpointHealth();
    state.endpoints.set(endpointId, health);
  }
  return health;
}

/** Ejects an endpoint, for longer with each ejection since it was last healthy. */
export function ejectEndpoint(
  state: HealthState,
  endpointId: string,
  cause: EjectionCause,
  now: number,
): void {
  const health = getOrCreateHealth(state, endpointId);
  const durationMs = BASE_EJECTION_MS * 2 ** Math.min(health.ejections, 10);
  health.phase = 'ejected';
  health.cause = cause;
  health.ejectedAt = now;
  health.ejectedUntil = now + Math.min(MAX_EJECTION_MS, durationMs);
  health.isProbing = false;
  health.ejections += 1;
  health.slowScans = 0;
  health.consecutiveFailures = 0;
}

/** Returns an endpoint to normal use. */
export function restoreEndpoint(state: HealthState, endpointId: string): void {
  const health = getOrCreateHealth(state, endpointId);
  health.phase = 'healthy';
  health.consecutiveFailures = 0;
  health.ejections = 0;
  health.slowScans = 0;
}

/** Forgets what is known of an endpoint that has restarted under its id. */
export function resetEndpointHealth(state: HealthState, endpointId: string): void {
  state.endpoints.delete(endpointId);
}

/** Forgets the failures of an endpoint since an instant, which had another cause. */
export function forgetFailures(state: HealthState, endpointId: string, since: number): void {
  const health = state.endpoints.get(endpointId);
  if (health === undefined) return;
  health.consecutiveFailures = 0;
  const isEjectedSince = health.cause === 'failures' && health.ejectedAt >= since;
  if (health.phase !== 'healthy' && isEjectedSince) restoreEndpoint(state, endpointId);
}

/** Records an answer, which ends a series of failures and a probation caused by failures. */
export function recordSuccess(state: HealthState, endpointId: string): void {
  const health = getOrCreateHealth(state, endpointId);
  health.consecutiveFailures = 0;
  if (health.phase === 'probation' && health.cause === 'failures') {
    restoreEndpoint(state, endpointId);
  }
}

/** Records a failure; returns true when it ejects the endpoint. One is enough on probation. */
export function recordFailure(state: HealthState, endpointId: string, now: number): boolean {
  const health = getOrCreateHealth(state, endpointId);
  health.consecutiveFailures += 1;
  if (health.phase === 'ejected') return false;
  const failuresToEject = health.phase === 'probation' ? 1 : FAILURES_TO_EJECT;
  if (health.consecutiveFailures < failuresToEject) return false;
  ejectEndpoint(state, endpointId, 'failures', now);
  return true;
}

/** Returns the ejected endpoints whose probe is due and marks them as being probed. */
export function takeDueProbes(state: HealthState, now: number): string[] {
  const due: string[] = [];
  for (const [id, health] of state.endpoints) {
    if (health.phase !== 'ejected' || health.ejectedUntil > now) continue;
    if (health.isProbing && now - health.ejectedUntil < PROBE_TIMEOUT_MS) continue;
    health.isProbing = true;
    health.ejectedUntil = now;
    due.push(id);
  }
  return due;
}

/** Records a probe's result: a healthy endpoint goes on probation, another is ejected again. */
export function recordProbeResult(
  state: HealthState,
  endpointId: string,
  isHealthy: boolean,
  now: number,
): void {
  const health = state.endpoints.get(endpointId);
  if (health?.phase !== 'ejected') return;
  if (!isHealthy) {
    ejectEndpoint(state, endpointId, health.cause, now);
    return;
  }
  health.phase = 'probation';
  health.isProbing = false;
  health.tokenGapMs = null;
}
