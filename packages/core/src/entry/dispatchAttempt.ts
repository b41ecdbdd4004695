import type { Attempt } from '../types/index.js';
import type { Action } from './action.js';
import type { Core, LiveRequest } from './core.js';
import { increment } from './counters.js';

/** Lower bound of the time without a token after which a connection counts as dead. */
const MIN_SILENCE_TIMEOUT_MS = 2000;

/** The same time as a multiple of the class's `betweenTokensMs` target. */
const SILENCE_TIMEOUT_GAPS = 40;

/** Dispatches an attempt to its endpoint; false when the table no longer has the endpoint. */
export function dispatchAttempt(
  core: Core,
  { request }: LiveRequest,
  attempt: Attempt,
  actions: Action[],
): boolean {
  const { view } = core.table;
  const endpoint = view?.endpoints.get(attempt.endpointId);
  if (view === null || endpoint === undefined) return false;
  increment(core, 'attempts');
  const targetGapMs = view.classes.get(request.classId)?.target.betweenTokensMs ?? 0;
  const silenceTimeoutMs = Math.max(MIN_SILENCE_TIMEOUT_MS, targetGapMs * SILENCE_TIMEOUT_GAPS);
  actions.push({ kind: 'dispatch', attempt, request, endpoint, silenceTimeoutMs });
  return true;
}
