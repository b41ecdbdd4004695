import type { TableView } from '../table/index.js';
import type { PoolId } from '../types/index.js';
import type { Action } from './action.js';
import type { Core, LiveAttempt } from './core.js';
import { increment } from './counters.js';
import { listCandidates } from './listCandidates.js';
import { hasFreeSlotElsewhere, measureCapacity } from './poolCapacity.js';

/** Fraction of the first-token target after which an attempt without a token may be moved. */
const MOVE_AFTER_FRACTION = 0.25;

/** Multiple of the pool's idle time to the first token before which no attempt is moved. */
const IDLE_LATENCY_FACTOR = 4;

/** Moves per request; each may discard prompt tokens that the endpoint has already processed. */
const MAX_MOVES = 2;

/** Says whether an attempt's first token is late and its request may still be moved. */
function isMoveDue(
  core: Core,
  view: TableView,
  pool: PoolId,
  { attempt, firstTokenAt }: LiveAttempt,
  now: number,
): boolean {
  const live = core.requests.get(attempt.requestId);
  if (live === undefined || firstTokenAt !== null || !live.request.repeatable) return false;
  if (live.isMoving === true || live.deliveredTokens > 0 || live.attempts > MAX_MOVES) return false;
  const targetMs = view.classes.get(live.request.classId)?.target.firstTokenMs ?? Infinity;
  const idleMs = core.placement.pools.get(pool)?.idleFirstTokenMs ?? 0;
  return (
    now - attempt.startedAt > Math.max(targetMs * MOVE_AFTER_FRACTION, idleMs * IDLE_LATENCY_FACTOR)
  );
}

function movePoolAttempts(
  core: Core,
  view: TableView,
  pool: PoolId,
  attemptIds: Iterable<string>,
  now: number,
  actions: Action[],
): void {
  for (const attemptId of attemptIds) {
    const running = core.attempts.get(attemptId);
    if (running === undefined || !isMoveDue(core, view, pool, running, now)) continue;
    const capacity = measureCapacity(core, view, pool, listCandidates(core, view, pool), now);
    const { endpointId, requestId } = running.attempt;
    if (!hasFreeSlotElsewhere(core, capacity, endpointId, now)) continue;
    core.requests.get(requestId)!.isMoving = true;
    increment(core, 'moves');
    actions.push({ kind: 'cancel-attempt', attemptId });
  }
}

/**
 * Moves critical requests that wait in an endpoint's queue when another endpoint has a free slot:
 * cancels the attempt, whose end requeues the request at the head of its queue.
 */
export function moveAttempts(core: Core, now: number, actions: Action[]): void {
  const { view } = core.table;
  if (view === null) return;
  core.placement.critical.forEach((ids, pool) => {
    if (pool.startsWith('model:')) movePoolAttempts(core, view, pool as PoolId, ids, now, actions);
  });
}
