import { readRate } from '../shared/index.js';
import { tierRank, type Class, type ClassLoad, type PoolId } from '../types/index.js';
import type { AdmissionState, Lane, PoolQueue } from './state.js';

const MS_PER_SECOND = 1000;

/** How many requests of each class wait for each pool. */
export interface LaneLength {
  readonly pool: PoolId;
  readonly classId: string;
  readonly waiting: number;
}

/** Says whether any request waits for a pool. */
export function hasWaiting(state: AdmissionState, pool: PoolId): boolean {
  for (const lane of state.pools.get(pool)?.lanes.values() ?? []) {
    if (lane.size > 0) return true;
  }
  return false;
}

/** Lists the pools that requests wait for. */
export function listWaitingPools(state: AdmissionState): PoolId[] {
  return [...state.pools.keys()].filter((pool) => hasWaiting(state, pool));
}

/** Lists the lengths of all lanes. */
export function listLanes(state: AdmissionState): LaneLength[] {
  return [...state.pools].flatMap(([pool, { lanes }]) =>
    [...lanes.values()].map((lane) => ({ pool, classId: lane.classId, waiting: lane.size })),
  );
}

/** Lists demand and service by class and pool, as heartbeats carry them; idle ones are left out. */
export function listClassLoads(state: AdmissionState, now: number): ClassLoad[] {
  const loads = [...state.pools].flatMap(([pool, { lanes }]) =>
    [...lanes.values()].map((lane) => ({
      classId: lane.classId,
      pool,
      waiting: lane.size,
      waitingTokens: Math.round(lane.cost),
      servedTokensPerSecond: Math.round(readRate(lane.served, now) * MS_PER_SECOND),
      offeredTokensPerSecond: Math.round(lane.announced * MS_PER_SECOND),
    })),
  );
  return loads.filter((load) => load.waiting > 0 || load.offeredTokensPerSecond > 0);
}

function rankOf(lane: Lane, classes: ReadonlyMap<string, Class>): number {
  return tierRank(classes.get(lane.classId)?.tier ?? 'background');
}

/**
 * Returns the cost per millisecond that a class can count on in a pool that serves
 * `poolRate`: what higher tiers leave, less the lower classes' minimum shares under
 * demand; within the tier all that others inside their shares leave while it is inside its
 * own, else a part by weight; never below its own share.
 */
export function classRate(
  queue: PoolQueue,
  row: Class,
  poolRate: number,
  now: number,
  classes: ReadonlyMap<string, Class>,
): number {
  const rank = tierRank(row.tier);
  const isWithinShare = (queue.lanes.get(row.id)?.credit ?? 0) > 0;
  let left = poolRate;
  let weights = row.weight;
  for (const lane of queue.lanes.values()) {
    const other = classes.get(lane.classId);
    if (lane.classId === row.id || other === undefined) continue;
    const otherRank = rankOf(lane, classes);
    const arrived = readRate(lane.arrived, now);
    if (otherRank < rank) left -= arrived;
    else if (otherRank === rank && lane.credit > 0) {
      left -= Math.min(arrived, other.share * poolRate);
    } else if (otherRank > rank && lane.size > 0) left -= other.share * poolRate;
    else if (otherRank === rank && lane.size > 0 && !isWithinShare) weights += other.weight;
  }
  return Math.max((left * row.weight) / weights, row.share * poolRate, 0);
}

/** Returns the cost per millisecond that callers ask of a pool in one tier, bursts at once. */
export function offeredRate(
  queue: PoolQueue,
  rank: number,
  now: number,
  classes: ReadonlyMap<string, Class>,
): number {
  let rate = 0;
  for (const lane of queue.lanes.values()) {
    if (rankOf(lane, classes) !== rank) continue;
    rate += Math.max(readRate(lane.arrived, now), readRate(lane.burst, now));
  }
  return rate;
}
