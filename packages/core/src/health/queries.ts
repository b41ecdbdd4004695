import type { HealthPhase, HealthState } from './state.js';

/** Largest fraction of a pool that may be ejected at the same time. */
const MAX_EJECTED_FRACTION = 1 / 3;

/** Returns the phase of an endpoint; one without observations is healthy. */
export function getHealthPhase(state: HealthState, endpointId: string): HealthPhase {
  return state.endpoints.get(endpointId)?.phase ?? 'healthy';
}

/**
 * Lists the endpoints of a pool that may get requests: all but the ejected ones. Of these at most
 * `MAX_EJECTED_FRACTION` of the pool are excluded, those whose ejection ends last.
 */
export function listUsableEndpoints(state: HealthState, endpointIds: readonly string[]): string[] {
  const ejected = endpointIds.filter((id) => getHealthPhase(state, id) === 'ejected');
  if (ejected.length === 0) return [...endpointIds];
  const maxExcluded = Math.floor(endpointIds.length * MAX_EJECTED_FRACTION);
  const ejectedUntil = (id: string) => state.endpoints.get(id)?.ejectedUntil ?? 0;
  const excluded = new Set(
    ejected.sort((a, b) => ejectedUntil(b) - ejectedUntil(a)).slice(0, maxExcluded),
  );
  return endpointIds.filter((id) => !excluded.has(id));
}

/** Lists the ids of the ejected endpoints. */
export function listEjectedEndpoints(state: HealthState): string[] {
  return [...state.endpoints].filter(([, h]) => h.phase === 'ejected').map(([id]) => id);
}
