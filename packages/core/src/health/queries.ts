import type { HealthState } from './state.js';

/** Largest part of a pool that may be ejected at the same time. */
const LARGEST_EJECTED_PART = 1 / 3;

/** Returns the endpoints of a pool that may get requests now. */
export function listUsable(
  state: HealthState,
  endpointIds: readonly string[],
  now: number,
): string[] {
  const ejectedUntil = (id: string) => state.endpoints.get(id)?.ejectedUntil ?? 0;
  const ejected = endpointIds.filter((id) => ejectedUntil(id) > now);
  const most = Math.floor(endpointIds.length * LARGEST_EJECTED_PART);
  const kept = new Set(ejected.sort((a, b) => ejectedUntil(b) - ejectedUntil(a)).slice(0, most));
  return endpointIds.filter((id) => !kept.has(id));
}

/** Lists the endpoints that are ejected now. */
export function listEjected(state: HealthState, now: number): string[] {
  return [...state.endpoints].filter(([, health]) => health.ejectedUntil > now).map(([id]) => id);
}
