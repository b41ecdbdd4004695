import { listPeers } from '../membership/index.js';
import { countInFlight } from '../placement/index.js';
import { rankMembers } from '../shared/index.js';
import {
  removeExpiredCrashes,
  hasCrashedEndpoint,
  enqueueSuspect,
  classifyRequest,
  recordCrash,
  releaseSuspect,
  type Isolation,
} from '../suspects/index.js';
import type { TableView } from '../table/index.js';
import type { AttemptEnd, FailureCause, PoolId, Refusal } from '../types/index.js';
import type { Action } from './action.js';
import { buildHeartbeat } from './buildHeartbeat.js';
import { nextId, type Core, type LiveAttempt, type LiveRequest } from './core.js';
import { increment } from './counters.js';
import { refuseRequest } from './finishRequest.js';
import { listCandidates } from './listCandidates.js';
import { startAttempt } from './startAttempt.js';

/** Delay before a suspect runs: a resend may arrive before the report of a crash at another VM. */
const CRASH_NEWS_DELAY_MS = 300;

/** Peers notified of a crash at once; the others learn of it from regular heartbeats. */
const MAX_PEERS_NOTIFIED = 8;

/** Failure causes that count as a crash of the endpoint. */
const crashCauses: readonly FailureCause[] = ['reset', 'truncated'];

/** Notifies peers of a crash at once, since a caller may send the request to them next. */
function notifyPeers(core: Core, fingerprint: string, now: number, actions: Action[]): void {
  const notified = rankMembers(fingerprint, listPeers(core.membership)).slice(
    0,
    MAX_PEERS_NOTIFIED,
  );
  for (const peer of notified) {
    const heartbeat = buildHeartbeat(core, peer.id, now);
    const call = { method: 'heartbeat', heartbeat } as const;
    actions.push({ kind: 'call-peer', callId: nextId(core, 'c'), peer, call });
  }
}

/** Records a crash at the end of an attempt as evidence against its request. */
export function observeCrash(
  core: Core,
  { attempt }: LiveAttempt,
  live: LiveRequest,
  end: AttemptEnd,
  now: number,
  actions: Action[],
): void {
  const { pool, id, fingerprint } = live.request;
  const isAlone = core.suspects.isolations.get(pool)?.runningId === id;
  releaseSuspect(core.suspects, pool, id);
  if (end.kind !== 'failed' || !crashCauses.includes(end.cause)) return;
  const { endpointId, startedAt } = attempt;
  const crash = { fingerprint, endpointId, at: now, startedAt, isAlone };
  if (!recordCrash(core.suspects, crash)) return;
  notifyPeers(core, fingerprint, now, actions);
  const verdict = classifyRequest(core.suspects, fingerprint, now);
  if (verdict === 'innocent') return;
  increment(core, 'suspicions');
  const fields = { fingerprint, verdict, endpoint: attempt.endpointId };
  actions.push({ kind: 'state-changed', level: 'warn', code: 'request_suspected', fields });
}

function createSuspectRefusal(live: LiveRequest): Refusal {
  return {
    code: 'suspect_request',
    message: 'Endpoints crashed each time that this request ran; it is not run again for now.',
    verdict: live.verdict,
    retryable: false,
    retryAfterMs: null,
  };
}

/** Refuses or isolates a request that crashed endpoints; false when it may run with others. */
export function refuseOrIsolate(
  core: Core,
  live: LiveRequest,
  now: number,
  actions: Action[],
): boolean {
  const verdict = classifyRequest(core.suspects, live.request.fingerprint, now);
  if (verdict === 'innocent') return false;
  if (verdict === 'suspect') {
    enqueueSuspect(core.suspects, live.request.pool, live.request.id, now);
  } else refuseRequest(core, live, createSuspectRefusal(live), 'refused', actions);
  return true;
}

/** Refuses waiting suspects past their deadlines and drops those whose requests have ended. */
function refuseExpiredSuspects(
  core: Core,
  isolation: Isolation,
  now: number,
  actions: Action[],
): void {
  for (const isolated of [...isolation.waiting]) {
    const { requestId } = isolated;
    const live = core.requests.get(requestId);
    if (live !== undefined && live.request.deadline > now) continue;
    if (live === undefined) {
      isolation.waiting.splice(isolation.waiting.indexOf(isolated), 1);
      continue;
    }
    releaseSuspect(core.suspects, live.request.pool, requestId);
    const refusal = { ...createSuspectRefusal(live), code: 'deadline_unreachable' } as const;
    refuseRequest(core, live, refusal, 'shed', actions);
  }
}

/**
 * Starts the oldest suspect of a pool once its endpoint is idle, preferably one that it has not
 * crashed.
 */
function runNextSuspect(
  core: Core,
  view: TableView,
  pool: PoolId,
  isolation: Isolation,
  now: number,
  actions: Action[],
): void {
  const first = isolation.waiting[0];
  if (first === undefined || now < first.queuedAt + CRASH_NEWS_DELAY_MS) return;
  const live = core.requests.get(first.requestId);
  if (live === undefined || isolation.runningId !== null) return;
  const { fingerprint } = live.request;
  const all = listCandidates(core, view, pool);
  const untried = all.filter(({ id }) => !hasCrashedEndpoint(core.suspects, fingerprint, id));
  const candidates = untried.length > 0 ? untried : all;
  const load = (id: string) => countInFlight(core.placement, id);
  const kept = candidates.find(({ id }) => id === isolation.endpointId);
  const endpoint = kept ?? [...candidates].sort((a, b) => load(a.id) - load(b.id))[0];
  isolation.endpointId = endpoint?.id ?? null;
  if (endpoint === undefined || load(endpoint.id) > 0) return;
  if (classifyRequest(core.suspects, fingerprint, now) === 'refused') {
    releaseSuspect(core.suspects, pool, live.request.id);
    refuseRequest(core, live, createSuspectRefusal(live), 'refused', actions);
    return;
  }
  isolation.waiting.shift();
  isolation.runningId = live.request.id;
  startAttempt(core, view, live, endpoint, now, actions);
}

/** Runs suspects, one at a time per pool, each on an endpoint idle for this VM. */
export function runSuspects(core: Core, now: number, actions: Action[]): void {
  const { view } = core.table;
  if (view === null) return;
  if (core.suspects.crashHistories.size > 0) removeExpiredCrashes(core.suspects, now);
  for (const [pool, isolation] of [...core.suspects.isolations]) {
    refuseExpiredSuspects(core, isolation, now, actions);
    runNextSuspect(core, view, pool, isolation, now, actions);
  }
}
