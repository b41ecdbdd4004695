import type { Outcome, Refusal } from '../types/index.js';
import type { Action } from './action.js';
import type { Core, LiveRequest } from './core.js';
import { increment } from './counters.js';
import { releaseGrants } from './releaseGrants.js';
import { settleLimits } from './settleLimits.js';

/** Ends a request: removes it, settles its limits, counts its outcome and reports it. */
export function endRequest(
  core: Core,
  live: LiveRequest,
  outcome: Outcome,
  actions: Action[],
): void {
  core.requests.delete(live.request.id);
  settleLimits(core, live);
  increment(core, `requests_${outcome}`);
  actions.push({ kind: 'request-ended', requestId: live.request.id, outcome });
}

/**
 * Replaces the verdict `not-run` of a keyed request that was never claimed by `may-have-run`, since
 * an earlier send may have run. The key still makes it safe to send the request again.
 */
function correctNotRunVerdict(
  { request, claim, isProvenFirst }: LiveRequest,
  refusal: Refusal,
): Refusal {
  if (request.key === null || refusal.verdict !== 'not-run') return refusal;
  if (claim !== undefined || isProvenFirst === true) return refusal;
  return { ...refusal, verdict: 'may-have-run' };
}

/** Ends a request with a refusal to its caller and releases grants that are no longer needed. */
export function refuseRequest(
  core: Core,
  live: LiveRequest,
  refusal: Refusal,
  outcome: 'shed' | 'refused' | 'failed',
  actions: Action[],
): void {
  const { claim, request } = live;
  if (claim !== undefined && (request.repeatable || refusal.verdict === 'not-run')) {
    releaseGrants(core, request.key ?? '', claim.attemptId, claim.witnesses, actions);
  }
  actions.push({
    kind: 'refuse',
    requestId: request.id,
    refusal: correctNotRunVerdict(live, refusal),
  });
  endRequest(core, live, outcome, actions);
}
