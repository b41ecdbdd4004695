import { measureOfferedRate } from '../admission/index.js';
import { getHealthPhase } from '../health/index.js';
import {
  countCritical,
  countInFlight,
  estimateLoad,
  hasSpareSlot,
  hasWindowRoom,
  hasOverdueAttempt,
  isReportedFull,
  msPerToken,
  windowSize,
} from '../placement/index.js';
import type { TableView } from '../table/index.js';
import { tierRank, type Endpoint, type PoolId } from '../types/index.js';
import type { Core } from './core.js';

const CRITICAL_RANK = 0;

/** Fraction by which critical requests may exceed the windows, in slots unused by other VMs. */
const OVERCOMMIT_FRACTION = 0.25;

/** Largest fraction of a VM's windows that is reserved for critical arrivals. */
const MAX_RESERVE_FRACTION = 0.3;

/** Critical load, in slots, below which nothing is reserved. */
const MIN_CRITICAL_LOAD_SLOTS = 0.02;

/** Standard deviations above the mean critical load that the reserved slots cover. */
const RESERVE_STANDARD_DEVIATIONS = 1;

/** What this VM may use of a pool now. A window limits its attempts in flight at an endpoint. */
export interface PoolCapacity {
  readonly pool: PoolId;
  readonly candidates: readonly Endpoint[];
  /** Sum of this VM's windows at the candidates. */
  readonly windowSlots: number;
  /** Slots reserved for critical arrivals. */
  readonly reservedSlots: number;
}

/** Estimates how many slots the critical requests of this VM keep busy on average. */
function estimateCriticalLoad(core: Core, view: TableView, pool: PoolId, now: number): number {
  const queue = core.admission.pools.get(pool);
  if (queue === undefined) return 0;
  return (
    measureOfferedRate(queue, CRITICAL_RANK, now, view.classes) * msPerToken(core.placement, pool)
  );
}

/** Returns the sum of the minimum shares of the classes below critical with waiting requests. */
function sumWaitingShares(core: Core, view: TableView, pool: PoolId): number {
  let shares = 0;
  for (const lane of core.admission.pools.get(pool)?.lanes.values() ?? []) {
    const row = view.classes.get(lane.classId);
    if (row === undefined || lane.size === 0) continue;
    if (tierRank(row.tier) > CRITICAL_RANK) shares += row.share;
  }
  return shares;
}

/**
 * Computes the slots to keep free for critical arrivals, which would wait if long streams filled
 * the pool: their mean load and its deviation, less the critical requests already in flight.
 */
function computeReservedSlots(
  core: Core,
  view: TableView,
  pool: PoolId,
  windowSlots: number,
  now: number,
): number {
  const load = estimateCriticalLoad(core, view, pool, now);
  if (load < MIN_CRITICAL_LOAD_SLOTS) return 0;
  // Only slots beyond the minimum shares of the lower classes may be reserved.
  const guaranteedShares = sumWaitingShares(core, view, pool);
  const maxSlots = Math.floor(windowSlots * Math.max(0, 1 - guaranteedShares));
  const wantedSlots = Math.min(maxSlots, load + RESERVE_STANDARD_DEVIATIONS * Math.sqrt(load));
  const missingSlots = Math.ceil(wantedSlots - countCritical(core.placement, pool));
  return Math.max(0, Math.min(missingSlots, Math.floor(windowSlots * MAX_RESERVE_FRACTION)));
}

/** Measures the capacity of a pool for this VM now. */
export function measureCapacity(
  core: Core,
  view: TableView,
  pool: PoolId,
  candidates: readonly Endpoint[],
  now: number,
): PoolCapacity {
  const windowSlots = candidates.reduce((sum, c) => sum + windowSize(core.placement, c), 0);
  return {
    pool,
    candidates,
    windowSlots,
    reservedSlots: computeReservedSlots(core, view, pool, windowSlots, now),
  };
}

function isAccepting(
  core: Core,
  pool: PoolId,
  endpoint: Endpoint,
  rank: number,
  now: number,
): boolean {
  // On probation, until it has kept up, an endpoint gets one request at a time and no critical one.
  if (getHealthPhase(core.health, endpoint.id) === 'probation') {
    return rank > CRITICAL_RANK && countInFlight(core.placement, endpoint.id) === 0;
  }
  if (!hasWindowRoom(core.placement, endpoint)) return false;
  if (rank > CRITICAL_RANK && isReportedFull(core.placement, endpoint, now)) return false;
  return endpoint.kind === 'service' || !hasOverdueAttempt(core.placement, endpoint, pool, now);
}

/**
 * Lists the endpoints that accept one more request of a tier (0 is critical): those with room in
 * this VM's window, or else, for a critical request, those with a slot that other VMs leave unused.
 */
export function listAccepting(
  core: Core,
  capacity: PoolCapacity,
  rank: number,
  now: number,
): Endpoint[] {
  const accepting = capacity.candidates.filter((c) =>
    isAccepting(core, capacity.pool, c, rank, now),
  );
  if (accepting.length > 0 || rank !== CRITICAL_RANK) return accepting;
  return capacity.candidates.filter(
    (c) => getHealthPhase(core.health, c.id) === 'healthy' && hasSpareSlot(core.placement, c, now),
  );
}

/** Says whether any endpoint other than `endpointId` has a slot free for a critical request. */
export function hasFreeSlotElsewhere(
  core: Core,
  capacity: PoolCapacity,
  endpointId: string,
  now: number,
): boolean {
  return listAccepting(core, capacity, CRITICAL_RANK, now).some(
    ({ id, slots }) => id !== endpointId && estimateLoad(core.placement.loads.get(id), now) < slots,
  );
}

/** Says whether the pool has capacity for one more request of a tier (0 is critical). */
export function hasCapacityFor(
  core: Core,
  capacity: PoolCapacity,
  rank: number,
  now: number,
): boolean {
  const inFlight = capacity.candidates.reduce(
    (sum, c) => sum + countInFlight(core.placement, c.id),
    0,
  );
  const maxInFlight =
    rank === CRITICAL_RANK
      ? Math.ceil(capacity.windowSlots * (1 + OVERCOMMIT_FRACTION))
      : Math.max(1, Math.floor(capacity.windowSlots)) - capacity.reservedSlots;
  if (inFlight >= Math.max(1, maxInFlight)) return false;
  return listAccepting(core, capacity, rank, now).length > 0;
}

/** Returns the rate at which a pool serves this VM, in cost (output tokens) per millisecond. */
export function computePoolRate(core: Core, capacity: PoolCapacity, pool: PoolId): number {
  return capacity.windowSlots / msPerToken(core.placement, pool);
}
