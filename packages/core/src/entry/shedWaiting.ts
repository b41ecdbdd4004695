import {
  estimateClassRate,
  takeMatching,
  takeOverflow,
  type PoolQueue,
} from '../admission/index.js';
import { firstTokenMs, msPerToken } from '../placement/index.js';
import { hasEnoughAnswers } from '../prediction/index.js';
import { ratePerMs } from '../shared/index.js';
import type { TableView } from '../table/index.js';
import type { Class, PoolId, RefusalCode, Request } from '../types/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { isDeadlineUnreachable } from './estimateCost.js';
import { refuseRequest } from './finishRequest.js';
import { computePoolRate, type PoolCapacity } from './poolCapacity.js';

/** Bounds of the retry-after that a shed request gets. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 30_000;

/** Largest fraction of the latency budget spent waiting; the rest covers estimate errors. */
const MAX_WAIT_FRACTION = 0.7;

const shedMessages: Partial<Record<RefusalCode, string>> = {
  overloaded: 'The queue is too long for the latency target of the class.',
  queue_full: 'Too many requests of the class wait on this VM.',
  deadline_unreachable: 'The answer could not be in time.',
};

/**
 * Estimates how long a caller should wait before a retry: the time to serve the queue at `rate`
 * (cost per millisecond), longer when requests arrive faster than they are served.
 */
function estimateRetryAfterMs(queue: PoolQueue, row: Class, rate: number, now: number): number {
  const lane = queue.lanes.get(row.id);
  if (lane === undefined || rate === 0) return MAX_RETRY_AFTER_MS;
  const overload = Math.max(1, ratePerMs(lane.arrivalRate, now) / rate);
  const waitMs = (lane.cost / rate) * overload;
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)));
}

/** Sheds waiting requests: each caller gets the refusal at once. */
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
      message: shedMessages[code] ?? 'The request was shed.',
      verdict: live.verdict,
      retryable: request.repeatable || live.verdict === 'not-run',
      retryAfterMs,
    } as const;
    refuseRequest(core, live, refusal, 'shed', actions);
  }
}

/** Returns the longest wait with which a class's requests can still meet their target. */
function computeMaxWaitMs(core: Core, pool: PoolId, row: Class, meanCost: number): number {
  const isKnown = hasEnoughAnswers(core.prediction, `${row.id}|${pool}`);
  const serviceMs = isKnown ? meanCost * msPerToken(core.placement, pool) : 0;
  const { firstTokenMs: targetMs, wholeMs } = row.target;
  const firstTokenSlackMs = targetMs - firstTokenMs(core.placement, pool);
  return Math.max(0, Math.min(firstTokenSlackMs, wholeMs - serviceMs) * MAX_WAIT_FRACTION);
}

/** Sheds the newest requests of a class that exceed its latency target or its `maxQueue`. */
export function shedOverflow(
  core: Core,
  view: TableView,
  pool: PoolId,
  row: Class,
  capacity: PoolCapacity,
  now: number,
  actions: Action[],
): void {
  const queue = core.admission.pools.get(pool);
  const lane = queue?.lanes.get(row.id);
  if (queue === undefined || lane === undefined || lane.size === 0) return;
  const rate = estimateClassRate(
    queue,
    row,
    computePoolRate(core, capacity, pool),
    now,
    view.classes,
  );
  const waitMs = computeMaxWaitMs(core, pool, row, lane.cost / lane.size);
  const retryAfterMs = estimateRetryAfterMs(queue, row, rate, now);
  // Without an endpoint there is no rate: requests wait for one until their deadlines.
  const maxQueuedCost = capacity.candidates.length === 0 ? Infinity : rate * waitMs;
  const overTarget = takeOverflow(core.admission, pool, row.id, Infinity, maxQueuedCost);
  shedRequests(core, overTarget, 'overloaded', retryAfterMs, actions);
  const overMaxQueue = takeOverflow(core.admission, pool, row.id, row.maxQueue, Infinity);
  shedRequests(core, overMaxQueue, 'queue_full', retryAfterMs, actions);
}

/** Sheds waiting requests that would miss their deadlines even if dispatched now. */
export function shedUnreachableDeadlines(
  core: Core,
  pool: PoolId,
  now: number,
  actions: Action[],
): void {
  const unreachable = takeMatching(core.admission, pool, ({ request }) =>
    isDeadlineUnreachable(core, request, core.requests.get(request.id)?.deliveredTokens ?? 0, now),
  );
  shedRequests(core, unreachable, 'deadline_unreachable', MIN_RETRY_AFTER_MS, actions);
}
