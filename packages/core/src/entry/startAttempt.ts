import { reserveSlot } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import type { Attempt, Endpoint } from '../types/index.js';
import type { Action } from './action.js';
import { nextId, type Core, type LiveRequest } from './core.js';
import { claimKey, needsClaim } from './claimKey.js';
import { dispatchAttempt } from './dispatchAttempt.js';
import { estimateCost } from './estimateCost.js';

/** Starts an attempt: reserves a slot at the endpoint, then claims the key or dispatches. */
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
    resumeFromToken: live.deliveredTokens,
    resumeStream: null,
  };
  const expectedCost = estimateCost(core, request);
  reserveSlot(core.placement, endpoint.id, expectedCost);
  const running = { attempt, expectedCost, produced: 0, firstTokenAt: null };
  core.attempts.set(attempt.id, running);
  live.attemptId = attempt.id;
  live.attempts += 1;
  if (needsClaim(core, live, now)) claimKey(core, live, running, now, actions);
  else dispatchAttempt(core, live, attempt, actions);
}
