import type { ClassLoad, PoolId } from '../types/index.js';
import type { AdmissionState } from './state.js';

/** How many requests of each class wait for each pool. */
export interface LaneLength {
  readonly pool: PoolId;
  readonly classId: string;
  readonly waiting: number;
}

/** Says whether any request waits for a pool. */
export function hasWaiting(state: AdmissionState, pool: PoolId): boolean {
  for (const lane of state.pools.get(pool)?.values() ?? []) {
    if (lane.waiting.length > 0) return true;
  }
  return false;
}

/** Lists the lengths of all lanes. */
export function listLanes(state: AdmissionState): LaneLength[] {
  return [...state.pools].flatMap(([pool, lanes]) =>
    [...lanes.values()].map((lane) => ({
      pool,
      classId: lane.classId,
      waiting: lane.waiting.length,
    })),
  );
}

/** Lists demand by class and pool, as heartbeats carry it. */
export function listClassLoads(state: AdmissionState): ClassLoad[] {
  return [...state.pools].flatMap(([pool, lanes]) =>
    [...lanes.values()].map((lane) => ({
      classId: lane.classId,
      pool,
      waiting: lane.waiting.length,
      waitingTokens: lane.waiting.reduce((sum, request) => sum + request.promptTokens, 0),
      servedTokensPerSecond: 0,
    })),
  );
}
