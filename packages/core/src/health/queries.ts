import type { HealthPhase, HealthState } from './state.js';

/** Largest part of a pool that may be ejected at the same time. */
const LARGEST_EJECTED_PART = 1 / 3;

/** Returns the phase that an endpoint is in. */
export function phaseOf(state: HealthState, endpointId: string): HealthPhase {
  return state.endpoints.get(endpointId)?.phase ?? 'healthy';
}

/**
 * Returns the endpoints of a pool that may get requests now: all but the ejected, of which
 * at most a third of the pool count; those ejected longest ahead stay out.
 */
export function listUsable(state: HealthState, endpointIds: readonly string[]): string[] {
  const ejected = endpointIds.filter((id) => phaseOf(state, id) === 'ejected');
  if (ejected.length === 0) return [...endpointIds];
  const most = Math.floor(endpointIds.length * LARGEST_EJECTED_PART);
  const until = (id: string) => state.endpoints.get(id)?.ejectedUntil ?? 0;
  const kept = new Set(ejected.sort((a, b) => until(b) - until(a)).slice(0, most));
  return endpointIds.filter((id) => !kept.has(id));
}

/** Lists the endpoints that are ejected now. */
export function listEjected(state: HealthState): string[] {
  return [...state.endpoints].filter(([, h]) => h.phase === 'ejected').map(([id]) => id);
}
