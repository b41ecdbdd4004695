import { correctCost, hasWaiting, requeueRequest } from '../admission/index.js';
import { recordFailure, recordSuccess } from '../health/index.js';
import {
  countInFlight,
  hasReportedFreeSlot,
  adaptWindow,
  endFirstTokenWait,
  recordAttemptDuration,
  releaseSlot,
  removeCriticalAttempt,
  windowSize,
} from '../placement/index.js';
import { recordAnswerLength } from '../prediction/index.js';
import type { AttemptEnd, Class, Endpoint, PoolId } from '../types/index.js';
import type { Action } from './action.js';
import type { Core, LiveAttempt, LiveRequest } from './core.js';
import { increment } from './counters.js';
import { computeCost, lengthKey } from './estimateCost.js';

/** Fraction of a pool's tightest first-token target that may be spent in an endpoint's queue. */
const MAX_ENDPOINT_WAIT_FRACTION = 0.25;

function computeMaxEndpointWaitMs(
  core: Core,
  pool: PoolId,
  classes: ReadonlyMap<string, Class>,
): number {
  let tightestMs = Infinity;
  for (const classId of core.admission.pools.get(pool)?.lanes.keys() ?? []) {
    tightestMs = Math.min(tightestMs, classes.get(classId)?.target.firstTokenMs ?? Infinity);
  }
  return tightestMs * MAX_ENDPOINT_WAIT_FRACTION;
}

/** Says whether the endpoint's window limits dispatch: it is full, or requests wait. */
function isWindowLimited(core: Core, endpoint: Endpoint, pool: PoolId): boolean {
  if (hasWaiting(core.admission, pool)) return true;
  return countInFlight(core.placement, endpoint.id) >= windowSize(core.placement, endpoint);
}

/** Records an attempt's time to the first token and adapts the endpoint's window to it. */
export function observeFirstToken(core: Core, running: LiveAttempt, now: number): void {
  running.firstTokenAt = now;
  endFirstTokenWait(core.placement, running.attempt.endpointId, running.attempt.startedAt);
  const { view } = core.table;
  const { endpointId, requestId, startedAt } = running.attempt;
  const endpoint = view?.endpoints.get(endpointId);
  const pool = core.requests.get(requestId)?.request.pool;
  if (view === null || endpoint === undefined || pool === undefined) return;
  const observation = {
    endpoint,
    pool,
    elapsedMs: now - startedAt,
    mostWaitMs: computeMaxEndpointWaitMs(core, pool, view.classes),
    isLimited: isWindowLimited(core, endpoint, pool),
    hasRoom: hasReportedFreeSlot(core.placement, endpoint, now),
    followsDemand: core.placement.shares.get(pool)?.followsDemand ?? false,
  };
  adaptWindow(core.placement, observation, now);
}

/** Records the duration and actual cost of a complete attempt, from which the pace is estimated. */
function recordCompletion(
  core: Core,
  ended: LiveAttempt,
  { request }: LiveRequest,
  outputTokens: number,
  now: number,
): void {
  const { endpointId, startedAt } = ended.attempt;
  const cost = computeCost(request, outputTokens);
  recordAttemptDuration(core.placement, endpointId, request.pool, now - startedAt, cost);
}

/** Replaces the expected cost charged to the queue at dispatch by the actual cost. */
function settleCost(
  core: Core,
  ended: LiveAttempt,
  { request }: LiveRequest,
  tokens: number,
): void {
  const row = core.table.view?.classes.get(request.classId);
  if (row === undefined) return;
  const difference = computeCost(request, tokens) - ended.expectedCost;
  correctCost(core.admission, request.pool, row, difference);
}

/** Requeues a request whose attempt was cancelled to move it to another endpoint. */
function requeueMoved(core: Core, live: LiveRequest, end: AttemptEnd): void {
  live.isMoving = false;
  if (end.kind === 'cancelled') requeueRequest(core.admission, live.request);
}

/** Frees an ended attempt's slot and records its cost, pace and success or failure. */
export function observeAttemptEnd(
  core: Core,
  ended: LiveAttempt,
  end: AttemptEnd,
  now: number,
  actions: Action[],
): void {
  const { endpointId, requestId } = ended.attempt;
  releaseSlot(core.placement, endpointId, ended.expectedCost, now);
  removeCriticalAttempt(core.placement, ended.attempt.id);
  if (ended.firstTokenAt === null) {
    endFirstTokenWait(core.placement, endpointId, ended.attempt.startedAt);
  }
  const live = core.requests.get(requestId);
  const tokens = end.kind === 'complete' ? end.outputTokens : ended.produced;
  if (live !== undefined) settleCost(core, ended, live, tokens);
  if (end.kind === 'complete') {
    recordSuccess(core.health, endpointId);
    if (live !== undefined) recordCompletion(core, ended, live, end.outputTokens, now);
  }
  if (live?.isMoving === true) requeueMoved(core, live, end);
  if (end.kind !== 'failed' || end.cause === 'invalid') return;
  if (!recordFailure(core.health, endpointId, now)) return;
  increment(core, 'ejections');
  const fields = { endpoint: endpointId, cause: end.cause };
  actions.push({ kind: 'state-changed', level: 'warn', code: 'endpoint_ejected', fields });
}

/** Records the length of a complete answer for later predictions. */
export function observeAnswerLength(core: Core, live: LiveRequest, outputTokens: number): void {
  recordAnswerLength(core.prediction, lengthKey(live.request), outputTokens);
}
