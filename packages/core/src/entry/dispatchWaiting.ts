import { hasWaiting, takeNext } from '../admission/index.js';
import { listUsable } from '../health/index.js';
import { isEndpointLeaving } from '../membership/index.js';
import { chooseEndpoint, reserveSlot } from '../placement/index.js';
import { predictRemaining } from '../prediction/index.js';
import type { TableView } from '../table/index.js';
import type { Attempt, Endpoint, PoolId, Request } from '../types/index.js';
import type { Action } from './action.js';
import { nextId, type Core, type LiveRequest } from './core.js';
import { count } from './counters.js';

const MEDIAN = 0.5;
const LEAST_SILENCE_MS = 2000;
const SILENCE_GAPS = 40;

/** Returns the name under which answer lengths of a request are learnt. */
export function lengthSource(request: Request): string {
  return `${request.classId}|${request.pool}`;
}

function expectTokens(core: Core, request: Request): number {
  const source = lengthSource(request);
  const output = predictRemaining(core.prediction, source, 0, request.maxOutputTokens, MEDIAN);
  return request.promptTokens + output;
}

function listCandidates(core: Core, view: TableView, pool: PoolId, now: number): Endpoint[] {
  const members = (view.pools.get(pool) ?? []).filter(
    (endpoint) => endpoint.state === 'live' && !isEndpointLeaving(core.membership, endpoint.id),
  );
  const usable = new Set(
    listUsable(
      core.health,
      members.map((endpoint) => endpoint.id),
      now,
    ),
  );
  return members.filter((endpoint) => usable.has(endpoint.id));
}

function startAttempt(
  core: Core,
  view: TableView,
  live: LiveRequest,
  endpoint: Endpoint,
  now: number,
  actions: Action[],
): void {
  const { request } = live;
  const attempt: Attempt = {
    id: nextId(core, 'a'),
    requestId: request.id,
    endpointId: endpoint.id,
    startedAt: now,
    resumeFrom: live.delivered,
    resumeStream: null,
  };
  const expectedTokens = expectTokens(core, request);
  reserveSlot(core.placement, endpoint.id, expectedTokens);
  core.attempts.set(attempt.id, { attempt, expectedTokens, produced: 0, firstTokenAt: null });
  live.attemptId = attempt.id;
  live.attempts += 1;
  count(core, 'attempts');
  const gap = view.classes.get(request.classId)?.target.betweenTokensMs ?? 0;
  const silenceMs = Math.max(LEAST_SILENCE_MS, gap * SILENCE_GAPS);
  actions.push({ kind: 'dispatch', attempt, request, endpoint, silenceMs });
}

/** Sends waiting requests of a pool to endpoints while one has room. */
export function dispatchWaiting(core: Core, pool: PoolId, now: number, actions: Action[]): void {
  const { view } = core.table;
  if (view === null) return;
  while (hasWaiting(core.admission, pool)) {
    const candidates = listCandidates(core, view, pool, now);
    const endpoint = chooseEndpoint(core.placement, candidates, core.random);
    if (endpoint === undefined) return;
    const request = takeNext(core.admission, pool, view.classes, (r) => expectTokens(core, r));
    if (request === undefined) return;
    const live = core.requests.get(request.id);
    if (live !== undefined) startAttempt(core, view, live, endpoint, now, actions);
  }
}
