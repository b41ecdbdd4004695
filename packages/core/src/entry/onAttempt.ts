import { requeueRequest } from '../admission/index.js';
import { clearCrashes } from '../suspects/index.js';
import { worstVerdict, type AttemptEnd } from '../types/index.js';
import type { Action } from './action.js';
import type { Core, LiveRequest } from './core.js';
import { increment } from './counters.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { endRequest, refuseRequest } from './finishRequest.js';
import type { MessageOf } from './message.js';
import { observeAnswerLength, observeAttemptEnd, observeFirstToken } from './observeAttempt.js';
import { withdrawRetry } from './retryBudget.js';
import { refuseOrIsolate, observeCrash } from './isolateSuspects.js';

/** Attempts per request, the first included. */
const MAX_ATTEMPTS = 3;

type Failure = Extract<AttemptEnd, { kind: 'failed' }>;

/** Records output tokens received from an attempt. */
export function onTokensArrived(
  core: Core,
  message: MessageOf<'tokens-arrived'>,
  now: number,
): void {
  const running = core.attempts.get(message.attemptId);
  if (running === undefined) return;
  running.produced += message.count;
  if (running.firstTokenAt === null) observeFirstToken(core, running, now);
  const live = core.requests.get(running.attempt.requestId);
  if (live === undefined) return;
  live.firstTokenAt ??= now;
  live.deliveredTokens = running.attempt.resumeFromToken + running.produced;
}

/** Says whether a failed request is retried, and if so takes the retry from its class's budget. */
function acquireRetry(core: Core, live: LiveRequest, failure: Failure, now: number): boolean {
  if (failure.cause === 'invalid') return false;
  if (live.attempts >= MAX_ATTEMPTS || live.request.deadline <= now) return false;
  if (!live.request.repeatable && live.verdict !== 'not-run') return false;
  return withdrawRetry(core, live.request.classId);
}

function onAttemptFailed(
  core: Core,
  live: LiveRequest,
  failure: Failure,
  now: number,
  actions: Action[],
): void {
  if (acquireRetry(core, live, failure, now)) {
    increment(core, 'retries');
    // The new attempt produces the whole answer; the caller gets only the part it lacks.
    live.deliveredTokens = 0;
    if (!refuseOrIsolate(core, live, now, actions)) requeueRequest(core.admission, live.request);
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

function onAttemptCompleted(
  core: Core,
  live: LiveRequest,
  outputTokens: number,
  now: number,
  actions: Action[],
): void {
  observeAnswerLength(core, live, outputTokens);
  clearCrashes(core.suspects, live.request.fingerprint, now);
  increment(core, 'tokens_delivered', outputTokens);
  endRequest(core, live, now <= live.request.deadline ? 'complete' : 'late', actions);
}

/** Ends an attempt: frees its slot and completes, retries or fails its request. */
export function onAttemptEnded(
  core: Core,
  { attemptId, end }: MessageOf<'attempt-ended'>,
  now: number,
  actions: Action[],
): void {
  const run = core.attempts.get(attemptId);
  if (run === undefined) return;
  core.attempts.delete(attemptId);
  observeAttemptEnd(core, run, end, now, actions);
  const live = core.requests.get(run.attempt.requestId);
  if (live === undefined || end.kind !== 'complete') increment(core, 'tokens_wasted', run.produced);
  if (live === undefined) return;
  live.attemptId = null;
  observeCrash(core, run, live, end, now, actions);
  live.verdict = worstVerdict(live.verdict, end.kind === 'complete' ? 'ran' : end.verdict);
  if (end.kind === 'complete') onAttemptCompleted(core, live, end.outputTokens, now, actions);
  if (end.kind === 'failed') onAttemptFailed(core, live, end, now, actions);
  dispatchWaiting(core, live.request.pool, now, actions);
}
