import { requeueRequest } from '../admission/index.js';
import {
  answerClaim,
  beginClaim,
  buildClaimCall,
  cancelClaim,
  maxClaimAgeMs,
  handleClaimReply,
  type ClaimStep,
} from '../claims/index.js';
import { findVm } from '../membership/index.js';
import { endFirstTokenWait, releaseSlot, removeCriticalAttempt } from '../placement/index.js';
import type { ClaimCall, KeyHolder, Refusal, Vm } from '../types/index.js';
import { worstVerdict } from '../types/index.js';
import type { Action } from './action.js';
import { nextId, type Core, type LiveAttempt, type LiveRequest } from './core.js';
import { increment } from './counters.js';
import { dispatchAttempt } from './dispatchAttempt.js';
import { endRequest, refuseRequest } from './finishRequest.js';
import { releaseGrants } from './releaseGrants.js';

const RETRY_AFTER_MS = 1000;

/** Times that a request retries its claim after a split vote of the witnesses. */
const MAX_SPLIT_VOTES = 5;

/** Says whether a request has to claim its key before it is dispatched. */
export function needsClaim(
  core: Core,
  { request, claim, isClaimExempt }: LiveRequest,
  now: number,
): boolean {
  if (request.key === null || isClaimExempt === true) return false;
  return claim === undefined || now - claim.at > maxClaimAgeMs(core.claims.settings);
}

/** Removes an attempt that was never dispatched: frees its slot without recording an outcome. */
function discardAttempt(core: Core, { attempt, expectedCost }: LiveAttempt, now: number): void {
  core.attempts.delete(attempt.id);
  endFirstTokenWait(core.placement, attempt.endpointId, attempt.startedAt);
  releaseSlot(core.placement, attempt.endpointId, expectedCost, now);
  const live = core.requests.get(attempt.requestId);
  if (live === undefined) return;
  live.attemptId = null;
  removeCriticalAttempt(core.placement, attempt.id);
}

function onClaimWon(
  core: Core,
  attemptId: string,
  witnesses: readonly Vm[],
  now: number,
  actions: Action[],
): void {
  increment(core, 'claims_won');
  const running = core.attempts.get(attemptId);
  const live = running === undefined ? undefined : core.requests.get(running.attempt.requestId);
  if (running === undefined || live === undefined) return;
  live.claim = { attemptId, at: now, witnesses };
  if (dispatchAttempt(core, live, running.attempt, actions)) return;
  discardAttempt(core, running, now);
  const refusal = {
    code: 'no_endpoint',
    message: 'The endpoint left before the request was sent.',
    verdict: live.verdict,
    retryable: true,
    retryAfterMs: RETRY_AFTER_MS,
  } as const;
  refuseRequest(core, live, refusal, 'refused', actions);
}

function onClaimLost(
  core: Core,
  live: LiveRequest,
  verdict: Refusal['verdict'],
  actions: Action[],
): void {
  increment(core, 'claims_lost');
  live.isProvenFirst = verdict === 'not-run';
  const refusal: Refusal = {
    code: 'claim_unavailable',
    message: 'Too few VMs could vouch that this key has not run; send it again with the same key.',
    verdict: worstVerdict(live.verdict, verdict),
    // The key keeps a resend from running twice.
    retryable: true,
    retryAfterMs: RETRY_AFTER_MS,
  };
  refuseRequest(core, live, refusal, 'refused', actions);
}

function onKeyHeld(core: Core, live: LiveRequest, holder: KeyHolder, actions: Action[]): void {
  increment(core, 'claims_held');
  const { request } = live;
  if (holder.fingerprint !== request.fingerprint) {
    const refusal = {
      code: 'key_reused',
      message: 'The key was used for another request.',
      verdict: 'not-run',
      retryable: false,
      retryAfterMs: null,
    } as const;
    live.isProvenFirst = true;
    refuseRequest(core, live, refusal, 'refused', actions);
    return;
  }
  const peer = findVm(core.membership, holder.claimant) ?? null;
  actions.push({ kind: 'join', request, holder, peer });
  endRequest(core, live, 'joined', actions);
}

/**
 * After a split vote, requeues the request to claim again if this VM's id is lower than the
 * holder's, so that only the VM with the lowest id retries; true when requeued.
 */
function retrySplitClaim(
  core: Core,
  live: LiveRequest,
  { holder, hasWon }: Extract<ClaimStep, { kind: 'held' }>,
): boolean {
  if (hasWon || core.membership.self.id >= holder.claimant) return false;
  live.splitVotes = (live.splitVotes ?? 0) + 1;
  if (live.splitVotes > MAX_SPLIT_VOTES) return false;
  live.attempts -= 1;
  requeueRequest(core.admission, live.request);
  return true;
}

function onClaimEnded(
  core: Core,
  attemptId: string,
  step: Extract<ClaimStep, { kind: 'held' | 'lost' }>,
  key: string,
  now: number,
  actions: Action[],
): void {
  releaseGrants(core, key, attemptId, step.release, actions);
  const running = core.attempts.get(attemptId);
  if (running === undefined) return;
  const live = core.requests.get(running.attempt.requestId);
  if (live?.request.repeatable === true && step.kind === 'lost') {
    // A repeatable request claims its key only to join an attempt in flight: it may run unclaimed.
    live.isClaimExempt = true;
    increment(core, 'claims_lost');
    if (dispatchAttempt(core, live, running.attempt, actions)) return;
  }
  discardAttempt(core, running, now);
  if (live === undefined) return;
  if (step.kind === 'lost') onClaimLost(core, live, step.verdict, actions);
  else if (!retrySplitClaim(core, live, step)) onKeyHeld(core, live, step.holder, actions);
}

/** Sends the claim to the witnesses among `vms`; answers it directly if this VM is one. */
function askWitnesses(
  core: Core,
  attemptId: string,
  vms: readonly Vm[],
  now: number,
  actions: Action[],
): void {
  const claim = core.claims.claims.get(attemptId);
  if (claim === undefined) return;
  const call = buildClaimCall(claim);
  const { id: selfId } = core.membership.self;
  for (const peer of vms) {
    if (peer.id === selfId) continue;
    actions.push({ kind: 'call-peer', callId: nextId(core, 'c'), peer, call });
  }
  if (!vms.some((vm) => vm.id === selfId)) return;
  const reply = answerClaim(core.claims, call, now);
  const step = handleClaimReply(core.claims, call, selfId, reply, now);
  // eslint-disable-next-line @typescript-eslint/no-use-before-define -- they call each other
  advanceClaim(core, call, step, now, actions);
}

/** Carries out the next step of a claim. */
export function advanceClaim(
  core: Core,
  { attemptId, key }: Pick<ClaimCall, 'attemptId' | 'key'>,
  step: ClaimStep,
  now: number,
  actions: Action[],
): void {
  if (step.kind === 'wait') return;
  if (step.kind === 'ask') askWitnesses(core, attemptId, step.vms, now, actions);
  else if (step.kind === 'won') onClaimWon(core, attemptId, step.witnesses, now, actions);
  else onClaimEnded(core, attemptId, step, key, now, actions);
}

/** Starts to claim a request's key for an attempt, which is dispatched once the claim is won. */
export function claimKey(
  core: Core,
  live: LiveRequest,
  { attempt }: LiveAttempt,
  now: number,
  actions: Action[],
): void {
  const { request } = live;
  const { homeRegion } = core.table.view?.accounts.get(request.accountId) ?? {};
  const { self } = core.membership;
  increment(core, 'claims');
  const claim = {
    key: request.key!,
    region: homeRegion ?? self.region,
    issuedAt: request.keyIssuedAt ?? null,
    attemptId: attempt.id,
    claimant: self.id,
    endpointId: attempt.endpointId,
    streamId: attempt.id,
    fingerprint: request.fingerprint,
  };
  advanceClaim(core, claim, beginClaim(core.claims, claim, now), now, actions);
}

/** Discards an attempt whose key is still being claimed; false when there is no such attempt. */
export function abandonClaim(
  core: Core,
  live: LiveRequest,
  now: number,
  actions: Action[],
): boolean {
  const running = core.attempts.get(live.attemptId ?? '');
  if (running === undefined || live.claim !== undefined || live.request.key === null) return false;
  if (!core.claims.claims.has(running.attempt.id)) return false;
  const witnesses = cancelClaim(core.claims, running.attempt.id);
  releaseGrants(core, live.request.key, running.attempt.id, witnesses, actions);
  discardAttempt(core, running, now);
  return true;
}
