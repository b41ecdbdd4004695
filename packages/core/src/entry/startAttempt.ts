import { reserveSlot } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import type { Attempt, Endpoint } from '../types/index.js';
import type { Action } from './action.js';
import { nextId, type Core, type LiveRequest } from './core.js';
import { count } from './counters.js';
import { expectTokens } from './expectTokens.js';

const LEAST_SILENCE_MS = 2000;
const SILENCE_GAPS = 40;

/** Starts an attempt of a request at an endpoint that has room. */
export function startAttempt(
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
