import {
  createEndpointHealth,
  type EjectionCause,
  type EndpointHealth,
  type HealthState,
} from './state.js';

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 1000;
const LONGEST_EJECTION_MS = 30_000;

/** A probe that has told nothing for so long is held to have failed. */
const PROBE_TIMEOUT_MS = 3000;

function healthOf(state: HealthState, endpointId: string): EndpointHealth {
  let health = state.endpoints.get(endpointId);
  if (health === undefined) {
    health = createEndpointHealth();
    state.endpoints.set(endpointId, health);
  }
  return health;
}

/** Takes an endpoint out of use, longer each time it comes back and fails again. */
export function ejectEndpoint(
  state: HealthState,
  endpointId: string,
  cause: EjectionCause,
  now: number,
): void {
  const health = healthOf(state, endpointId);
  const length = FIRST_EJECTION_MS * 2 ** Math.min(health.ejections, 10);
  health.phase = 'ejected';
  health.cause = cause;
  health.ejectedUntil = now + Math.min(LONGEST_EJECTION_MS, length);
  health.isProbed = false;
  health.ejections += 1;
  health.slowScans = 0;
  health.consecutiveFailures = 0;
}

/** Puts an endpoint back into full use. */
export function restoreEndpoint(state: HealthState, endpointId: string): void {
  const health = healthOf(state, endpointId);
  health.phase = 'healthy';
  health.consecutiveFailures = 0;
  health.ejections = 0;
  health.slowScans = 0;
}

/** Records an answer: it ends a row of failures, and the probation that failures led to. */
export function recordSuccess(state: HealthState, endpointId: string): void {
  const health = healthOf(state, endpointId);
  health.consecutiveFailures = 0;
  if (health.phase === 'probation' && health.cause === 'failures') {
    restoreEndpoint(state, endpointId);
  }
}

/** Records a failure; true when the endpoint is ejected by it. */
export function recordFailure(state: HealthState, endpointId: string, now: number): boolean {
  const health = healthOf(state, endpointId);
  health.consecutiveFailures += 1;
  if (health.phase === 'ejected') return false;
  const most = health.phase === 'probation' ? 1 : FAILURES_TO_EJECT;
  if (health.consecutiveFailures < most) return false;
  ejectEndpoint(state, endpointId, 'failures', now);
  return true;
}

/** Takes the ejected endpoints whose time is over and that are to be probed now. */
export function takeProbes(state: HealthState, now: number): string[] {
  const due: string[] = [];
  for (const [id, health] of state.endpoints) {
    if (health.phase !== 'ejected' || health.ejectedUntil > now) continue;
    if (health.isProbed && now - health.ejectedUntil < PROBE_TIMEOUT_MS) continue;
    health.isProbed = true;
    health.ejectedUntil = now;
    due.push(id);
  }
  return due;
}

/** Takes in what a probe told: an endpoint that answers gets one request at a time. */
export function recordProbe(
  state: HealthState,
  endpointId: string,
  healthy: boolean,
  now: number,
): void {
  const health = state.endpoints.get(endpointId);
  if (health?.phase !== 'ejected') return;
  if (!healthy) {
    ejectEndpoint(state, endpointId, health.cause, now);
    return;
  }
  health.phase = 'probation';
  health.isProbed = false;
  health.gapMs = null;
}
