import { enqueueRequest, removeRequest } from '../admission/index.js';
import { listLimits, takeTokens } from '../limits/index.js';
import { countLiveVms, hasStoppedAccepting } from '../membership/index.js';
import { listPoolMembers } from '../orders/index.js';
import { releaseSuspect } from '../suspects/index.js';
import type { TableView } from '../table/index.js';
import type { Refusal, RefusalCode, Request } from '../types/index.js';
import type { Action } from './action.js';
import { abandonClaim } from './claimKey.js';
import type { Core, LiveRequest } from './core.js';
import { increment } from './counters.js';
import { dispatchWaiting, shedPoolOverflow } from './dispatchWaiting.js';
import { estimateOutputTokens, estimateCost } from './estimateCost.js';
import { endRequest, refuseRequest } from './finishRequest.js';
import type { MessageOf } from './message.js';
import { releaseGrants } from './releaseGrants.js';
import { depositRetry } from './retryBudget.js';
import { refuseOrIsolate } from './isolateSuspects.js';

const DEFAULT_RETRY_AFTER_MS = 1000;

/** Creates the refusal of a request that never ran. */
function refuseAs(
  code: RefusalCode,
  message: string,
  retryAfterMs = DEFAULT_RETRY_AFTER_MS,
): Refusal {
  return { code, message, verdict: 'not-run', retryable: true, retryAfterMs };
}

/** Says whether an engine can be ordered to load the request's model; the request waits for it. */
function isLoadable(view: TableView, request: Request): boolean {
  return view.managed.length > 0 && view.models.has(request.pool.replace(/^model:/, ''));
}

/** Queues or isolates a request that may run and returns null, or returns its refusal. */
function admitRequest(
  core: Core,
  live: LiveRequest,
  now: number,
  actions: Action[],
): Refusal | null {
  const { request } = live;
  const { view } = core.table;
  const row = view?.classes.get(request.classId);
  if (hasStoppedAccepting(core.membership, now)) {
    return refuseAs('leaving', 'This VM is leaving; send it again.');
  }
  if (view === null || row === undefined) return refuseAs('not_ready', 'No table is in force yet.');
  if (listPoolMembers(core.orders, view, request.pool).length === 0 && !isLoadable(view, request)) {
    return refuseAs('no_endpoint', `No endpoint serves ${request.pool}.`);
  }
  const limits = listLimits(view, request.accountId, request.classId);
  const vms = countLiveVms(core.membership);
  const tokens = request.promptTokens + estimateOutputTokens(core, request);
  const waitMs = takeTokens(core.limits, limits, vms, tokens, now);
  if (waitMs > 0) return refuseAs('limit_reached', 'A limit of the table is used up.', waitMs);
  live.chargedTokens = tokens;
  if (refuseOrIsolate(core, live, now, actions)) return null;
  const weight = view.accounts.get(request.accountId)?.weight ?? 1;
  enqueueRequest(core.admission, request, row, estimateCost(core, request), weight, now);
  return null;
}

/** Admits a new request and dispatches what its pool has capacity for, or refuses it. */
export function onRequestArrived(
  core: Core,
  { request }: MessageOf<'request-arrived'>,
  now: number,
  actions: Action[],
): void {
  const live: LiveRequest = {
    request,
    attemptId: null,
    attempts: 0,
    deliveredTokens: 0,
    verdict: 'not-run',
    firstTokenAt: null,
  };
  core.requests.set(request.id, live);
  increment(core, 'requests');
  depositRetry(core, request.classId);
  const refusal = admitRequest(core, live, now, actions);
  if (refusal !== null) {
    refuseRequest(core, live, refusal, 'refused', actions);
    return;
  }
  dispatchWaiting(core, request.pool, now, actions);
  shedPoolOverflow(core, request.pool, now, actions);
}

/** Ends a request whose caller has disconnected and cancels its attempt. */
export function onCallerLeft(
  core: Core,
  { requestId }: MessageOf<'caller-left'>,
  now: number,
  actions: Action[],
): void {
  const live = core.requests.get(requestId);
  if (live === undefined) return;
  releaseSuspect(core.suspects, live.request.pool, requestId);
  // A keyed request that may run only once goes on: its answer is kept for a resend.
  const { claim, request } = live;
  if (live.attemptId !== null && claim !== undefined && !request.repeatable) return;
  if (claim !== undefined) {
    releaseGrants(core, request.key ?? '', claim.attemptId, claim.witnesses, actions);
  }
  if (live.attemptId === null || abandonClaim(core, live, now, actions)) {
    removeRequest(core.admission, live.request);
  } else actions.push({ kind: 'cancel-attempt', attemptId: live.attemptId });
  endRequest(core, live, 'abandoned', actions);
}
