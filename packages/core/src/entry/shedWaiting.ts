import { classRate, takeHopeless, takeOverflow, type PoolQueue } from '../admission/index.js';
import { firstTokenMs, msPerToken } from '../placement/index.js';
import { hasLearned } from '../prediction/index.js';
import { readRate } from '../shared/index.js';
import type { TableView } from '../table/index.js';
import type { Class, PoolId, RefusalCode, Request } from '../types/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { isHopeless } from './expectTokens.js';
import { refuseRequest } from './finishRequest.js';
import { poolRate, type PoolRoom } from './poolRoom.js';

const SHORTEST_RETRY_MS = 250;
const LONGEST_RETRY_MS = 30_000;

/** Part of the latency target that waiting may take; the rest covers what is not foreseen. */
const WAIT_PART = 0.7;

const messages: Partial<Record<RefusalCode, string>> = {
  overloaded: 'The queue is too long for the latency target of the class.',
  queue_full: 'Too many requests of the class wait on this VM.',
  deadline_unreachable: 'The answer could not be in time.',
};

/** Returns how long a queue of this cost takes to be served, as a caller should wait. */
function retryAfter(queue: PoolQueue, row: Class, rate: number, now: number): number {
  const lane = queue.lanes.get(row.id);
  if (lane === undefined || rate === 0) return LONGEST_RETRY_MS;
  const excess = Math.max(1, readRate(lane.arrived, now) / rate);
  const waitMs = (lane.cost / rate) * excess;
  return Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, Math.round(waitMs)));
}

/** Gives up requests that wait: their callers get the final answer at once. */
export function shedRequests(
  core: Core,
  requests: readonly Request[],
  code: RefusalCode,
  retryAfterMs: number,
  actions: Action[],
): void {
  for (const request of requests) {
    const live = core.requests.get(request.id);
    if (live === undefined) continue;
    const refusal = {
      code,
      message: messages[code] ?? 'The request was shed.',
      verdict: live.verdict,
      retryable: request.repeatable || live.verdict === 'not-run',
      retryAfterMs,
    } as const;
    refuseRequest(core, live, refusal, 'shed', actions);
  }
}

/** Returns the longest wait with which a class's requests can still meet their target. */
function longestWait(core: Core, pool: PoolId, row: Class, meanCost: number): number {
  const isKnown = hasLearned(core.prediction, `${row.id}|${pool}`);
  const serviceMs = isKnown ? meanCost * msPerToken(core.placement, pool) : 0;
  const { firstTokenMs: target, wholeMs } = row.target;
  const forFirst = target - firstTokenMs(core.placement, pool);
  return Math.max(0, Math.min(forFirst, wholeMs - serviceMs) * WAIT_PART);
}

/** Sheds the newest of a class's requests that wait beyond what its target allows. */
export function shedOverflow(
  core: Core,
  view: TableView,
  pool: PoolId,
  row: Class,
  room: PoolRoom,
  now: number,
  actions: Action[],
): void {
  const queue = core.admission.pools.get(pool);
  const lane = queue?.lanes.get(row.id);
  if (queue === undefined || lane === undefined || lane.size === 0) return;
  const rate = classRate(queue, row, poolRate(core, room, pool), now, view.classes);
  const waitMs = longestWait(core, pool, row, lane.cost / lane.size);
  const retryMs = retryAfter(queue, row, rate, now);
  // Without an endpoint there is no rate: requests wait within their windows for one to come.
  const mostCost = room.candidates.length === 0 ? Infinity : rate * waitMs;
  const late = takeOverflow(core.admission, pool, row.id, Infinity, mostCost);
  shedRequests(core, late, 'overloaded', retryMs, actions);
  const excess = takeOverflow(core.admission, pool, row.id, row.maxQueue, Infinity);
  shedRequests(core, excess, 'queue_full', retryMs, actions);
}

/** Sheds what could not end within its window even if it started now. */
export function shedHopeless(core: Core, pool: PoolId, now: number, actions: Action[]): void {
  const hopeless = takeHopeless(core.admission, pool, ({ request }) =>
    isHopeless(core, request, core.requests.get(request.id)?.delivered ?? 0, now),
  );
  shedRequests(core, hopeless, 'deadline_unreachable', SHORTEST_RETRY_MS, actions);
}
