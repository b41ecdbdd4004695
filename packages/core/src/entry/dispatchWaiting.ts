import {
  hasWaiting,
  requeueRequest,
  takeNext,
  type ClassLane,
  type SelectionContext,
} from '../admission/index.js';
import { isAwaitingRecheck } from '../membership/index.js';
import {
  addCriticalAttempt,
  chooseEndpoint,
  addExpectedPrefixes,
  firstTokenMs,
  recordAttemptSent,
} from '../placement/index.js';
import { isReservedForSuspect } from '../suspects/index.js';
import type { TableView } from '../table/index.js';
import { tierRank, type PoolId, type Request } from '../types/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { estimateCost, isDeadlineUnreachable } from './estimateCost.js';
import { listCandidates, refreshShares } from './listCandidates.js';
import { refreshPeerDemand, minShareFactor } from './peerDemand.js';
import {
  hasCapacityFor,
  listAccepting,
  measureCapacity,
  type PoolCapacity,
} from './poolCapacity.js';
import { shedOverflow, shedRequests } from './shedWaiting.js';
import { startAttempt } from './startAttempt.js';

/** Retry-after of a request that is shed at dispatch because its deadline is unreachable. */
const MIN_RETRY_AFTER_MS = 250;

function tierRankOf(view: TableView, request: Request): number {
  return tierRank(view.classes.get(request.classId)?.tier ?? 'background');
}

/** Says whether an account's oldest request has waited longer than its first-token target lets. */
function isUrgent(
  core: Core,
  view: TableView,
  pool: PoolId,
  lane: ClassLane,
  now: number,
): boolean {
  const targetMs = view.classes.get(lane.classId)?.target.firstTokenMs ?? Infinity;
  const slackMs = targetMs - firstTokenMs(core.placement, pool);
  for (const { waiting } of lane.accounts.values()) {
    const head = waiting[0];
    if (head !== undefined && now - head.request.arrivedAt > slackMs) return true;
  }
  return false;
}

function createSelection(
  core: Core,
  view: TableView,
  pool: PoolId,
  capacity: PoolCapacity,
  now: number,
): SelectionContext {
  return {
    classes: view.classes,
    now,
    hasCapacity: (rank) => hasCapacityFor(core, capacity, rank, now),
    shareFactor: (classId) => minShareFactor(core, pool, classId),
    isUrgent: (lane) => isUrgent(core, view, pool, lane, now),
  };
}

/** Dispatches or sheds a request; false when no endpoint accepts it and it is requeued. */
function sendRequest(
  core: Core,
  view: TableView,
  request: Request,
  capacity: PoolCapacity,
  now: number,
  actions: Action[],
): boolean {
  const live = core.requests.get(request.id);
  if (live === undefined) return true;
  if (isDeadlineUnreachable(core, request, live.deliveredTokens, now)) {
    shedRequests(core, [request], 'deadline_unreachable', MIN_RETRY_AFTER_MS, actions);
    return true;
  }
  const rank = tierRankOf(view, request);
  const { zone, region } = core.membership.self;
  const placing = {
    request,
    cost: estimateCost(core, request),
    zone,
    region,
    now,
  };
  const usable = listAccepting(core, capacity, rank, now);
  const endpoint = chooseEndpoint(core.placement, usable, placing, core.random);
  if (endpoint === undefined) {
    requeueRequest(core.admission, request);
    return false;
  }
  recordAttemptSent(core.placement, endpoint.id, now);
  addExpectedPrefixes(core.placement.prefixCaches, endpoint.id, request.prefixes);
  startAttempt(core, view, live, endpoint, now, actions);
  if (rank === 0 && live.attemptId !== null) {
    addCriticalAttempt(core.placement, request.pool, live.attemptId);
  }
  return true;
}

/** Dispatches the waiting requests of a pool while it has capacity for their tier. */
export function dispatchWaiting(core: Core, pool: PoolId, now: number, actions: Action[]): void {
  const { view } = core.table;
  if (view === null || isAwaitingRecheck(core.membership)) return;
  if (!hasWaiting(core.admission, pool)) return;
  refreshPeerDemand(core, now);
  const candidates = listCandidates(core, view, pool).filter(
    ({ id }) => !isReservedForSuspect(core.suspects, pool, id),
  );
  refreshShares(core, view, pool, candidates, now);
  const capacity = measureCapacity(core, view, pool, candidates, now);
  const selection = createSelection(core, view, pool, capacity, now);
  for (;;) {
    const request = takeNext(core.admission, pool, selection);
    if (request === undefined) return;
    if (!sendRequest(core, view, request, capacity, now, actions)) return;
  }
}

/** Sheds from each class of a pool the waiting requests that exceed its target or queue limit. */
export function shedPoolOverflow(core: Core, pool: PoolId, now: number, actions: Action[]): void {
  const { view } = core.table;
  const queue = core.admission.pools.get(pool);
  if (view === null || queue === undefined || !hasWaiting(core.admission, pool)) return;
  const capacity = measureCapacity(core, view, pool, listCandidates(core, view, pool), now);
  for (const classId of queue.lanes.keys()) {
    const row = view.classes.get(classId);
    if (row !== undefined) shedOverflow(core, view, pool, row, capacity, now, actions);
  }
}
