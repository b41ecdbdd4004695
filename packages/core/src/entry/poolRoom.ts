import { arrivalRate } from '../admission/index.js';
import { phaseOf } from '../health/index.js';
import { countVms } from '../membership/index.js';
import { countInFlight, hasWindow, msPerToken, windowOf } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import { tierRank, type Endpoint, type PoolId } from '../types/index.js';
import type { Core } from './core.js';
import { peerDemandOf } from './peerDemand.js';

const CRITICAL_RANK = 0;

/** A critical request may go beyond the windows by this part: engines honour priorities. */
const OVERCOMMIT_PART = 0.25;

/** Attempts beyond its window that one endpoint may get, for a critical request. */
export const ENDPOINT_OVERCOMMIT = 1;

/** Largest part of a VM's windows that is kept free for critical arrivals. */
const LARGEST_RESERVE_PART = 0.25;

/** Largest part of a VM's windows that is kept free for peers' higher tiers. */
const LARGEST_HELD_PART = 0.5;

/** Part of the tightest first-token target within which a slot must come free. */
const RESERVE_TARGET_PART = 0.3;

/** Standard deviations of the arrivals that the reserve covers. */
const RESERVE_DEVIATIONS = 2;

/** What this VM may use of a pool now. */
export interface PoolRoom {
  readonly candidates: readonly Endpoint[];
  /** Sum of the windows. */
  readonly capacity: number;
  /** Slots kept for critical arrivals. */
  readonly reserve: number;
  /** Slots kept free for higher tiers that wait at peers, by rank. */
  readonly held: readonly number[];
}

/** Returns the tightest first-token target among the classes of a tier, in milliseconds. */
export function tightestTarget(view: TableView, rank: number): number {
  let least = Infinity;
  for (const row of view.classes.values()) {
    if (tierRank(row.tier) === rank) least = Math.min(least, row.target.firstTokenMs);
  }
  return least;
}

/**
 * Works out the slots to keep for critical arrivals: those expected while waiting for a part
 * of their target, with a margin, less the slots that come free by themselves meanwhile.
 */
function workOutReserve(
  core: Core,
  view: TableView,
  pool: PoolId,
  capacity: number,
  now: number,
): number {
  const queue = core.admission.pools.get(pool);
  if (queue === undefined) return 0;
  const rate = arrivalRate(queue, CRITICAL_RANK, now, view.classes);
  if (rate === 0) return 0;
  const horizonMs = tightestTarget(view, CRITICAL_RANK) * RESERVE_TARGET_PART;
  if (!Number.isFinite(horizonMs)) return 0;
  const expected = rate * horizonMs;
  const wanted = expected + RESERVE_DEVIATIONS * Math.sqrt(expected);
  const attemptMs = core.placement.pools.get(pool)?.attemptMs ?? horizonMs;
  const freed = (capacity * horizonMs) / Math.max(1, attemptMs);
  const reserve = Math.max(0, Math.ceil(wanted - freed));
  return Math.min(reserve, Math.floor(capacity * LARGEST_RESERVE_PART));
}

function workOutHeld(core: Core, pool: PoolId, capacity: number): number[] {
  const waiting = peerDemandOf(core, pool)?.waitingByRank ?? [];
  const vms = countVms(core.membership);
  let above = 0;
  return waiting.map((count) => {
    const held = Math.min(Math.ceil(above / vms), Math.floor(capacity * LARGEST_HELD_PART));
    above += count;
    return held;
  });
}

/** Measures what this VM may use of a pool now. */
export function measureRoom(
  core: Core,
  view: TableView,
  pool: PoolId,
  candidates: readonly Endpoint[],
  now: number,
): PoolRoom {
  const capacity = candidates.reduce((sum, c) => sum + windowOf(core.placement, c), 0);
  return {
    candidates,
    capacity,
    reserve: workOutReserve(core, view, pool, capacity, now),
    held: workOutHeld(core, pool, capacity),
  };
}

/** Returns how many attempts beyond its window one endpoint may get from a tier. */
export function overcommitOf(rank: number): number {
  return rank === CRITICAL_RANK ? ENDPOINT_OVERCOMMIT : 0;
}

/** Says whether an endpoint may get one more request of a tier. */
export function mayUse(core: Core, endpoint: Endpoint, rank: number): boolean {
  const isTrial = phaseOf(core.health, endpoint.id) === 'probation';
  // One request at a time, and none that matters most, until the endpoint has kept up.
  if (isTrial) return rank > CRITICAL_RANK && countInFlight(core.placement, endpoint.id) === 0;
  return hasWindow(core.placement, endpoint, overcommitOf(rank));
}

/** Says whether the pool has room for one more request of a tier. */
export function hasRoomFor(core: Core, room: PoolRoom, rank: number): boolean {
  const inFlight = room.candidates.reduce((sum, c) => sum + countInFlight(core.placement, c.id), 0);
  const most =
    rank === CRITICAL_RANK
      ? Math.ceil(room.capacity * (1 + OVERCOMMIT_PART))
      : Math.max(1, Math.floor(room.capacity)) - room.reserve - (room.held[rank] ?? 0);
  if (inFlight >= Math.max(1, most)) return false;
  return room.candidates.some((c) => mayUse(core, c, rank));
}

/** Returns the cost per millisecond that this VM can have served by a pool. */
export function poolRate(core: Core, room: PoolRoom, pool: PoolId): number {
  return room.capacity / msPerToken(core.placement, pool);
}
