import { listUsable } from '../health/index.js';
import { countVms, isEndpointLeaving } from '../membership/index.js';
import { listPoolMembers } from '../orders/index.js';
import { chooseSubset, openWindow } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import type { Endpoint, PoolId } from '../types/index.js';
import type { Core } from './core.js';

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
  const candidates = live.filter((endpoint) => usable.has(endpoint.id));
  const sharing = Math.max(
    1,
    (countVms(core.membership) * subset.length) / Math.max(1, members.length),
  );
  candidates.forEach((endpoint) => openWindow(core.placement, endpoint, sharing));
  return candidates;
}
