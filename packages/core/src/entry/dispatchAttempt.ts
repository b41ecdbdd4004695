import type { Attempt } from '../types/index.js';
import type { Action } from './action.js';
import type { Core, LiveRequest } from './core.js';
import { increment } from './counters.js';

/** Least time without a token before a connection counts as dead. */
const MIN_SILENCE_MS = 2000;

/** The same time as a multiple of the class's target between tokens. */
const SILENCE_TARGET_GAPS = 40;

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
  const gap = view.classes.get(request.classId)?.target.betweenTokensMs ?? 0;
  const silenceMs = Math.max(MIN_SILENCE_MS, gap * SILENCE_TARGET_GAPS);
  actions.push({ kind: 'dispatch', attempt, request, endpoint, silenceTimeoutMs: silenceMs });
  return true;
}
