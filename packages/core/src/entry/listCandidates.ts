import { listUsableEndpoints } from '../health/index.js';
import { isEndpointLeaving } from '../membership/index.js';
import { listPoolMembers } from '../orders/index.js';
import { chooseSubset, setShare } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import type { Endpoint, PoolId } from '../types/index.js';
import type { Core } from './core.js';
import { computeShareRange } from './peerDemand.js';

/** Minimum interval between two updates of a pool's share while it is known at all candidates. */
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

/** Updates this VM's share of the candidates' slots when it is due or missing at a candidate. */
export function refreshShares(
  core: Core,
  view: TableView,
  pool: PoolId,
  candidates: readonly Endpoint[],
  now: number,
): void {
  const last = core.placement.shares.get(pool);
  const hasAllShares = candidates.every(({ id }) => core.placement.loads.get(id)?.part != null);
  if (last !== undefined && hasAllShares && now - last.refreshedAt < REFRESH_INTERVAL_MS) return;
  const share = computeShareRange(core, view, pool, candidates);
  core.placement.shares.set(pool, { ...share, refreshedAt: now });
  candidates.forEach((endpoint) => setShare(core.placement, endpoint, share.from, share.to));
}
