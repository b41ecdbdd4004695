import { rankMembers } from '../shared/index.js';
import type { Endpoint, PoolId } from '../types/index.js';
import type { PlacementState } from './state.js';

/** Largest number of endpoints of one pool that one VM uses. */
const MAX_SUBSET_SIZE = 24;

function isSameList(left: readonly Endpoint[], right: readonly Endpoint[]): boolean {
  if (left === right) return true;
  return left.length === right.length && left.every((endpoint, index) => endpoint === right[index]);
}

/**
 * Returns the endpoints of a pool that this VM uses: all of a small pool, and a subset of a large
 * one by rendezvous hashing, so that connections and reports do not grow with the fleet.
 */
export function chooseSubset(
  state: PlacementState,
  pool: PoolId,
  members: readonly Endpoint[],
  vmId: string,
): readonly Endpoint[] {
  if (members.length <= MAX_SUBSET_SIZE) return members;
  const known = state.subsets.get(pool);
  if (known !== undefined && isSameList(known.members, members)) return known.chosen;
  const chosen = rankMembers(`${vmId} ${pool}`, members).slice(0, MAX_SUBSET_SIZE);
  state.subsets.set(pool, { members, chosen });
  return chosen;
}
