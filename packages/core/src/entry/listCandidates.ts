import { listUsable } from '../health/index.js';
import { isEndpointLeaving } from '../membership/index.js';
import { listPoolMembers } from '../orders/index.js';
import { chooseSubset, setPart } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import type { Endpoint, PoolId } from '../types/index.js';
import type { Core } from './core.js';
import { computePart } from './peerDemand.js';

const REFRESH_INTERVAL_MS = 200;

/** Returns the endpoints of a pool that may get requests of this VM now. */
export function listCandidates(core: Core, view: TableView, pool: PoolId): Endpoint[] {
  const members = listPoolMembers(core.orders, view, pool);
  const { self } = core.membership;
  const subset = chooseSubset(core.placement, pool, members, self.id);
  const live = subset.filter(
    ({ id, state }) => state === 'live' && !isEndpointLeaving(core.membership, id),
  );
  const ids = live.map((endpoint) => endpoint.id);
  const usable = new Set(listUsable(core.health, ids));
  return live.filter((endpoint) => usable.has(endpoint.id));
}

/** Divides the candidates' slots among the VMs anew, at most a few times a second. */
export function refreshParts(
  core: Core,
  view: TableView,
  pool: PoolId,
  candidates: readonly Endpoint[],
  now: number,
): void {
  const known = core.placement.parts.get(pool);
  const isKnown = candidates.every(({ id }) => core.placement.loads.get(id)?.part != null);
  if (known !== undefined && isKnown && now - known.refreshedAt < REFRESH_INTERVAL_MS) return;
  const part = computePart(core, view, pool, candidates);
  core.placement.parts.set(pool, { ...part, refreshedAt: now });
  candidates.forEach((endpoint) => setPart(core.placement, endpoint, part.from, part.to));
}
