import { hasWaiting, takeNext } from '../admission/index.js';
import { listUsable } from '../health/index.js';
import { isEndpointLeaving, isStale } from '../membership/index.js';
import { listPoolMembers } from '../orders/index.js';
import { chooseEndpoint } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import type { Endpoint, PoolId } from '../types/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { expectTokens } from './expectTokens.js';
import { startAttempt } from './startAttempt.js';

function listCandidates(core: Core, view: TableView, pool: PoolId, now: number): Endpoint[] {
  const members = listPoolMembers(core.orders, view, pool).filter(
    (endpoint) => endpoint.state === 'live' && !isEndpointLeaving(core.membership, endpoint.id),
  );
  const usable = new Set(
    listUsable(
      core.health,
      members.map((endpoint) => endpoint.id),
      now,
    ),
  );
  return members.filter((endpoint) => usable.has(endpoint.id));
}

/** Sends waiting requests of a pool to endpoints while one has room. */
export function dispatchWaiting(core: Core, pool: PoolId, now: number, actions: Action[]): void {
  const { view } = core.table;
  if (view === null || isStale(core.membership)) return;
  while (hasWaiting(core.admission, pool)) {
    const candidates = listCandidates(core, view, pool, now);
    const endpoint = chooseEndpoint(core.placement, candidates, core.random);
    if (endpoint === undefined) return;
    const request = takeNext(core.admission, pool, view.classes, (r) => expectTokens(core, r));
    if (request === undefined) return;
    const live = core.requests.get(request.id);
    if (live !== undefined) startAttempt(core, view, live, endpoint, now, actions);
  }
}
