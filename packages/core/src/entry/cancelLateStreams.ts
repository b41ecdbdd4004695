import { probabilityOfEndWithin } from '../prediction/index.js';
import type { Action } from './action.js';
import type { Core, LiveAttempt, LiveRequest } from './core.js';
import { increment } from './counters.js';
import { lengthKey } from './estimateCost.js';
import { refuseRequest } from './finishRequest.js';

/** A stream less likely than this to end before its deadline is cancelled. */
const MIN_IN_TIME_PROBABILITY = 0.1;

const RETRY_AFTER_MS = 1000;

/** Says whether a stream, at its pace so far, is unlikely to end before its deadline. */
function isDeadlineUnlikely(
  core: Core,
  live: LiveRequest,
  running: LiveAttempt,
  now: number,
): boolean {
  const remainingMs = live.request.deadline - now;
  if (remainingMs <= 0) return true;
  const { firstTokenAt, produced } = running;
  if (firstTokenAt === null || produced < 2) return false;
  const gapMs = (now - firstTokenAt) / (produced - 1);
  const source = lengthKey(live.request);
  return (
    probabilityOfEndWithin(core.prediction, source, live.deliveredTokens, remainingMs / gapMs) <
    MIN_IN_TIME_PROBABILITY
  );
}

/**
 * Cancels the streams that are unlikely to end before their deadlines: nobody would receive the
 * rest. A request that may run only once goes on, since its answer is kept for a resend.
 */
export function cancelLateStreams(core: Core, now: number, actions: Action[]): void {
  for (const [attemptId, running] of core.attempts) {
    const live = core.requests.get(running.attempt.requestId);
    if (live === undefined || !live.request.repeatable || live.isMoving === true) continue;
    if (!isDeadlineUnlikely(core, live, running, now)) continue;
    increment(core, 'streams_cut');
    actions.push({ kind: 'cancel-attempt', attemptId });
    const refusal = {
      code: 'deadline_unreachable',
      message: 'The answer could not be in time.',
      verdict: 'ran',
      retryable: true,
      retryAfterMs: RETRY_AFTER_MS,
    } as const;
    refuseRequest(core, live, refusal, 'failed', actions);
  }
}
