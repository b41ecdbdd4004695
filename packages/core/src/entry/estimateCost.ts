import { msPerToken, PROMPT_TOKEN_COST } from '../placement/index.js';
import { hasLearned, predictMean, predictRemaining } from '../prediction/index.js';
import type { Request } from '../types/index.js';
import type { Core } from './core.js';

/** Quantile of the answer's length by which a request is held to be able to end in time. */
const MEDIAN_LENGTH_QUANTILE = 0.5;

/** Quantile of a long answer, which a request that is not started yet has to have room for. */
const LONG_ANSWER_QUANTILE = 0.9;

/** Part of a window that a long answer may ask for by itself. */
const MAX_LONG_ANSWER_FRACTION = 0.8;

/** Returns the name under which answer lengths of a request are learnt. */
export function lengthKey(request: Request): string {
  return `${request.classId}|${request.pool}`;
}

/** Returns the cost of a request whose answer has so many tokens, in output tokens. */
export function computeCost(request: Request, outputTokens: number): number {
  return request.promptTokens * PROMPT_TOKEN_COST + outputTokens;
}

/** Returns the length that the answer to a request is expected to have, in tokens. */
export function estimateOutputTokens(core: Core, request: Request): number {
  return predictMean(core.prediction, lengthKey(request), request.maxOutputTokens);
}

/** Returns the cost a request is expected to have, in output tokens. */
export function estimateCost(core: Core, request: Request): number {
  return computeCost(request, estimateOutputTokens(core, request));
}

/**
 * Returns the least cost still to come of a request of which some tokens are there: before
 * anything was learnt it is held to be short, for else it could never be tried.
 */
export function estimateRemainingCost(
  core: Core,
  request: Request,
  produced: number,
  quantile = MEDIAN_LENGTH_QUANTILE,
): number {
  const source = lengthKey(request);
  if (!hasLearned(core.prediction, source)) return computeCost(request, 1);
  const { maxOutputTokens } = request;
  const output = predictRemaining(core.prediction, source, produced, maxOutputTokens, quantile);
  return computeCost(request, output);
}

/**
 * Says whether a request is too unlikely to end within its window to be worth starting or going
 * on with. One not started yet has to fit with a long answer too, unless that would take most of
 * a window by itself: then no wait would ever be short enough.
 */
export function isDeadlineUnreachable(
  core: Core,
  request: Request,
  produced: number,
  now: number,
): boolean {
  const pace = msPerToken(core.placement, request.pool);
  const leastMs = estimateRemainingCost(core, request, produced) * pace;
  if (now + leastMs > request.deadline) return true;
  if (produced > 0) return false;
  const longMs = estimateRemainingCost(core, request, 0, LONG_ANSWER_QUANTILE) * pace;
  const windowMs = request.deadline - request.arrivedAt;
  return now + Math.min(longMs, windowMs * MAX_LONG_ANSWER_FRACTION) > request.deadline;
}
