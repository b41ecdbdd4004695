import { requeueRequest } from '../admission/index.js';
import { clearSuspect } from '../suspects/index.js';
import { worstVerdict, type AttemptEnd } from '../types/index.js';
import type { Action } from './action.js';
import type { Core, LiveRequest } from './core.js';
import { count } from './counters.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { endRequest, refuseRequest } from './finishRequest.js';
import type { MessageOf } from './message.js';
import { observeAnswer, observeEnd, observeFirstToken } from './observeAttempt.js';
import { takeRetry } from './retryBudget.js';
import { holdSuspect, observeCrash } from './watchSuspects.js';

const MOST_ATTEMPTS = 3;

type Failure = Extract<AttemptEnd, { kind: 'failed' }>;

/** Notes tokens that an attempt has brought. */
export function onTokensArrived(
  core: Core,
  message: MessageOf<'tokens-arrived'>,
  now: number,
): void {
  const live = core.attempts.get(message.attemptId);
  if (live === undefined) return;
  live.produced += message.count;
  if (live.firstTokenAt === null) observeFirstToken(core, live, now);
  const request = core.requests.get(live.attempt.requestId);
  if (request === undefined) return;
  request.firstTokenAt ??= now;
  request.delivered = live.attempt.resumeFrom + live.produced;
}

function mayRetry(core: Core, live: LiveRequest, failure: Failure, now: number): boolean {
  if (failure.cause === 'invalid') return false;
  if (live.attempts >= MOST_ATTEMPTS || live.request.deadline <= now) return false;
  if (!live.request.repeatable && live.verdict !== 'not-run') return false;
  return takeRetry(core, live.request.classId);
}

function onFailed(
  core: Core,
  live: LiveRequest,
  failure: Failure,
  now: number,
  actions: Action[],
): void {
  if (mayRetry(core, live, failure, now)) {
    count(core, 'retries');
    // The new attempt gives the answer from its beginning; the caller gets what it lacks.
    live.delivered = 0;
    if (!holdSuspect(core, live, now, actions)) requeueRequest(core.admission, live.request);
    return;
  }
  const retryable = live.request.repeatable || live.verdict === 'not-run';
  const refusal = {
    code: 'endpoint_failed',
    message: `The endpoint failed (${failure.cause}).`,
    verdict: live.verdict,
    retryable,
    retryAfterMs: failure.retryAfterMs,
  } as const;
  refuseRequest(core, live, refusal, 'failed', actions);
}

function onComplete(
  core: Core,
  live: LiveRequest,
  outputTokens: number,
  now: number,
  actions: Action[],
): void {
  observeAnswer(core, live, outputTokens);
  clearSuspect(core.suspects, live.request.fingerprint);
  count(core, 'tokens_delivered', outputTokens);
  endRequest(core, live, now <= live.request.deadline ? 'complete' : 'late', actions);
}

/** Ends an attempt: completes, retries or fails its request and frees the slot. */
export function onAttemptEnded(
  core: Core,
  { attemptId, end }: MessageOf<'attempt-ended'>,
  now: number,
  actions: Action[],
): void {
  const ended = core.attempts.get(attemptId);
  if (ended === undefined) return;
  core.attempts.delete(attemptId);
  observeEnd(core, ended, end, now, actions);
  const live = core.requests.get(ended.attempt.requestId);
  if (live === undefined || end.kind !== 'complete') count(core, 'tokens_wasted', ended.produced);
  if (live === undefined) return;
  live.attemptId = null;
  observeCrash(core, ended, live, end, now, actions);
  live.verdict = worstVerdict(live.verdict, end.kind === 'complete' ? 'ran' : end.verdict);
  if (end.kind === 'complete') onComplete(core, live, end.outputTokens, now, actions);
  if (end.kind === 'failed') onFailed(core, live, end, now, actions);
  dispatchWaiting(core, live.request.pool, now, actions);
}
