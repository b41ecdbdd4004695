import type { Class, PoolId, Request } from '../types/index.js';
import { tierRank } from '../types/index.js';
import type { AdmissionState, Lane } from './state.js';

function laneFor(state: AdmissionState, pool: PoolId, classId: string): Lane {
  let lanes = state.pools.get(pool);
  if (lanes === undefined) {
    lanes = new Map();
    state.pools.set(pool, lanes);
  }
  let lane = lanes.get(classId);
  if (lane === undefined) {
    lane = { classId, waiting: [], virtualTime: 0 };
    lanes.set(classId, lane);
  }
  return lane;
}

/** Puts a request at the end of its class's lane; false when the lane is full. */
export function enqueueRequest(state: AdmissionState, request: Request, most: number): boolean {
  const lane = laneFor(state, request.pool, request.classId);
  if (lane.waiting.length >= most) return false;
  lane.waiting.push(request);
  return true;
}

/** Puts a request back at the head of its lane, for a retry. */
export function requeueRequest(state: AdmissionState, request: Request): void {
  laneFor(state, request.pool, request.classId).waiting.unshift(request);
}

/** Takes a request out of its lane; false when it no longer waits. */
export function removeRequest(state: AdmissionState, request: Request): boolean {
  const lane = state.pools.get(request.pool)?.get(request.classId);
  const index = lane?.waiting.indexOf(request) ?? -1;
  if (lane === undefined || index < 0) return false;
  lane.waiting.splice(index, 1);
  return true;
}

/** Takes the request to serve next: the highest tier, then the least virtual time. */
export function takeNext(
  state: AdmissionState,
  pool: PoolId,
  classes: ReadonlyMap<string, Class>,
  expectedTokens: (request: Request) => number,
): Request | undefined {
  const lanes = [...(state.pools.get(pool)?.values() ?? [])].filter(
    (lane) => lane.waiting.length > 0,
  );
  const rankOf = (lane: Lane) => tierRank(classes.get(lane.classId)?.tier ?? 'background');
  lanes.sort((a, b) => rankOf(a) - rankOf(b) || a.virtualTime - b.virtualTime);
  const lane = lanes[0];
  const request = lane?.waiting.shift();
  if (lane === undefined || request === undefined) return undefined;
  lane.virtualTime += expectedTokens(request) / (classes.get(lane.classId)?.weight ?? 1);
  return request;
}

/** Takes out all requests whose deadline has passed. */
export function takeExpired(state: AdmissionState, now: number): Request[] {
  const expired: Request[] = [];
  for (const lanes of state.pools.values()) {
    for (const lane of lanes.values()) {
      const late = lane.waiting.filter((request) => request.deadline <= now);
      if (late.length === 0) continue;
      expired.push(...late);
      lane.waiting.splice(
        0,
        lane.waiting.length,
        ...lane.waiting.filter((request) => request.deadline > now),
      );
    }
  }
  return expired;
}
