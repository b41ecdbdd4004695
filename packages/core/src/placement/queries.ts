import type { Endpoint } from '../types/index.js';
import { nextInteger, type Random } from '../shared/index.js';
import type { PlacementState } from './state.js';

/** Returns how many attempts of this VM are in flight at an endpoint. */
export function countInFlight(state: PlacementState, endpointId: string): number {
  return state.loads.get(endpointId)?.inFlight ?? 0;
}

/** Chooses between two candidates at random: the one with less in flight for its size. */
export function chooseEndpoint(
  state: PlacementState,
  candidates: readonly Endpoint[],
  random: Random,
): Endpoint | undefined {
  const free = candidates.filter((c) => countInFlight(state, c.id) < c.slots);
  if (free.length < 2) return free[0];
  const first = free[nextInteger(random, free.length)]!;
  const second = free[nextInteger(random, free.length)]!;
  const fill = (endpoint: Endpoint) => countInFlight(state, endpoint.id) / endpoint.slots;
  return fill(first) <= fill(second) ? first : second;
}
