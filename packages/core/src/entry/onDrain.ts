import { removeRequest } from '../admission/index.js';
import { beginLeaving } from '../membership/index.js';
import { worstVerdict } from '../types/index.js';
import type { Action } from './action.js';
import { abandonClaim } from './claimKey.js';
import type { Core, LiveRequest } from './core.js';
import { refuseRequest } from './finishRequest.js';
import type { MessageOf } from './message.js';
import { sendHeartbeat } from './onHeartbeat.js';

/** Heartbeats sent when a drain begins, ahead of their interval. */
const DRAIN_HEARTBEATS = 3;

const RETRY_AFTER_MS = 1000;

/** Begins to drain: tells peers at once and refuses new requests after `graceMs`. */
export function onDrainBegan(
  core: Core,
  { graceMs = 0 }: MessageOf<'drain-began'>,
  now: number,
  actions: Action[],
): void {
  if (core.membership.leaving) return;
  beginLeaving(core.membership, now + graceMs);
  for (let sent = 0; sent < DRAIN_HEARTBEATS; sent += 1) sendHeartbeat(core, now, actions);
  const fields = { openRequests: core.requests.size };
  actions.push({ kind: 'state-changed', level: 'info', code: 'leaving', fields });
}

function refuseUnfinished(core: Core, live: LiveRequest, now: number, actions: Action[]): void {
  const { request, attemptId } = live;
  const isUnsent = attemptId === null || abandonClaim(core, live, now, actions);
  const verdict = isUnsent ? live.verdict : worstVerdict(live.verdict, 'may-have-run');
  if (isUnsent) removeRequest(core.admission, request);
  // A keyed request continues at its endpoint: a resend to another VM resumes its stream.
  else if (request.key === null) actions.push({ kind: 'cancel-attempt', attemptId });
  const refusal = {
    code: 'leaving',
    message: 'This VM stops before the answer is whole; another VM takes a resend.',
    verdict,
    retryable: request.repeatable || verdict === 'not-run',
    retryAfterMs: RETRY_AFTER_MS,
  } as const;
  refuseRequest(core, live, refusal, 'failed', actions);
}

/** Refuses all requests still open at the drain's time limit, each with its actual verdict. */
export function onDrainTimedOut(core: Core, now: number, actions: Action[]): void {
  [...core.requests.values()].forEach((live) => refuseUnfinished(core, live, now, actions));
}
