import type { Outcome, Refusal } from '../types/index.js';
import type { Action } from './action.js';
import type { Core, LiveRequest } from './core.js';
import { count } from './counters.js';
import { settleLimits } from './settleLimits.js';

/** Ends a request for good: forgets it, counts it and tells the tasks. */
export function endRequest(
  core: Core,
  live: LiveRequest,
  outcome: Outcome,
  actions: Action[],
): void {
  core.requests.delete(live.request.id);
  settleLimits(core, live);
  count(core, `requests_${outcome}`);
  actions.push({ kind: 'request-ended', requestId: live.request.id, outcome });
}

/** Ends a request with an error to its caller. */
export function refuseRequest(
  core: Core,
  live: LiveRequest,
  refusal: Refusal,
  outcome: 'shed' | 'refused' | 'failed',
  actions: Action[],
): void {
  actions.push({ kind: 'refuse', requestId: live.request.id, refusal });
  endRequest(core, live, outcome, actions);
}
