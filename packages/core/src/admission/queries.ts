import { ratePerMs } from '../shared/index.js';
import { tierRank, type Class, type ClassLoad, type PoolId } from '../types/index.js';
import type { AdmissionState, ClassLane, PoolQueue } from './state.js';

const MS_PER_SECOND = 1000;

/** Number of waiting requests of one class for one pool. */
export interface LaneLength {
  readonly pool: PoolId;
  readonly classId: string;
  readonly waiting: number;
}

/** Returns whether any request waits for a pool. */
export function hasWaiting(state: AdmissionState, pool: PoolId): boolean {
  for (const lane of state.pools.get(pool)?.lanes.values() ?? []) {
    if (lane.size > 0) return true;
  }
  return false;
}

/** Lists the pools with waiting requests. */
export function listWaitingPools(state: AdmissionState): PoolId[] {
  return [...state.pools.keys()].filter((pool) => hasWaiting(state, pool));
}

/** Lists the lengths of all lanes, empty ones too. */
export function listLaneLengths(state: AdmissionState): LaneLength[] {
  return [...state.pools].flatMap(([pool, { lanes }]) =>
    [...lanes.values()].map((lane) => ({ pool, classId: lane.classId, waiting: lane.size })),
  );
}

/** Lists demand and service by class and pool for the heartbeats, without the idle ones. */
export function listClassLoads(state: AdmissionState, now: number): ClassLoad[] {
  const loads = [...state.pools].flatMap(([pool, { lanes }]) =>
    [...lanes.values()].map((lane) => ({
      classId: lane.classId,
      pool,
      waiting: lane.size,
      waitingTokens: Math.round(lane.cost),
      servedTokensPerSecond: Math.round(ratePerMs(lane.served, now) * MS_PER_SECOND),
      offeredTokensPerSecond: Math.round(lane.advertisedRate * MS_PER_SECOND),
    })),
  );
  return loads.filter((load) => load.waiting > 0 || load.offeredTokensPerSecond > 0);
}

function tierRankOf(lane: ClassLane, classes: ReadonlyMap<string, Class>): number {
  return tierRank(classes.get(lane.classId)?.tier ?? 'background');
}

/**
 * Estimates the cost per millisecond that a class gets from a pool that serves `poolRate`: what
 * the higher tiers leave, less the minimum shares of waiting lower classes and the demand of
 * classes of its tier within their shares. A class without burst credit divides this by weight
 * with the waiting classes of its tier. The result is never below the class's own share.
 */
export function estimateClassRate(
  queue: PoolQueue,
  row: Class,
  poolRate: number,
  now: number,
  classes: ReadonlyMap<string, Class>,
): number {
  const rank = tierRank(row.tier);
  const isWithinShare = (queue.lanes.get(row.id)?.burstCredit ?? 0) > 0;
  let remaining = poolRate;
  let weightSum = row.weight;
  for (const lane of queue.lanes.values()) {
    const other = classes.get(lane.classId);
    if (lane.classId === row.id || other === undefined) continue;
    const otherRank = tierRankOf(lane, classes);
    const arrived = ratePerMs(lane.arrivalRate, now);
    if (otherRank < rank) remaining -= arrived;
    else if (otherRank === rank && lane.burstCredit > 0) {
      remaining -= Math.min(arrived, other.share * poolRate);
    } else if (otherRank > rank && lane.size > 0) remaining -= other.share * poolRate;
    else if (otherRank === rank && lane.size > 0 && !isWithinShare) weightSum += other.weight;
  }
  return Math.max((remaining * row.weight) / weightSum, row.share * poolRate, 0);
}

/**
 * Returns the cost per millisecond that callers request from a pool in one tier: the higher of
 * the two arrival rates, so that the start of a burst shows at once.
 */
export function measureOfferedRate(
  queue: PoolQueue,
  rank: number,
  now: number,
  classes: ReadonlyMap<string, Class>,
): number {
  let rate = 0;
  for (const lane of queue.lanes.values()) {
    if (tierRankOf(lane, classes) !== rank) continue;
    rate += Math.max(ratePerMs(lane.arrivalRate, now), ratePerMs(lane.burstArrivalRate, now));
  }
  return rate;
}
