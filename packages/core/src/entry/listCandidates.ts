import { listUsableEndpoints } from '../health/index.js';
import { isEndpointLeaving } from '../membership/index.js';
import { listPoolMembers } from '../orders/index.js';
import { chooseSubset, setShare } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import type { Endpoint, PoolId } from '../types/index.js';
import type { Core } from './core.js';
import { computePartRange } from './peerDemand.js';

/** Minimum interval between two divisions of a pool while all its parts are known. */
const REFRESH_INTERVAL_MS = 200;

/** Lists the endpoints of a pool that this VM may use now: live, not leaving and not ejected. */
export function listCandidates(core: Core, view: TableView, pool: PoolId): Endpoint[] {
  const members = listPoolMembers(core.orders, view, pool);
  const { self } = core.membership;
  const subset = chooseSubset(core.placement, pool, members, self.id);
  const live = subset.filter(
    ({ id, state }) => state === 'live' && !isEndpointLeaving(core.membership, id),
  );
  const ids = live.map((endpoint) => endpoint.id);
  const usable = new Set(listUsableEndpoints(core.health, ids));
  return live.filter((endpoint) => usable.has(endpoint.id));
}

/** Recomputes this VM's part of the candidates' slots when it is due or a part is missing. */
export function refreshParts(
  core: Core,
  view: TableView,
  pool: PoolId,
  candidates: readonly Endpoint[],
  now: number,
): void {
  const known = core.placement.shares.get(pool);
  const isKnown = candidates.every(({ id }) => core.placement.loads.get(id)?.part != null);
  if (known !== undefined && isKnown && now - known.refreshedAt < REFRESH_INTERVAL_MS) return;
  const part = computePartRange(core, view, pool, candidates);
  core.placement.shares.set(pool, { ...part, refreshedAt: now });
  candidates.forEach((endpoint) => setShare(core.placement, endpoint, part.from, part.to));
}
