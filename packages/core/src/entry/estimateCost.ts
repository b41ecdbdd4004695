import { msPerToken, PROMPT_TOKEN_COST } from '../placement/index.js';
import {
  hasEnoughAnswers,
  predictMeanTokens,
  predictRemainingTokens,
} from '../prediction/index.js';
import type { Request } from '../types/index.js';
import type { Core } from './core.js';

/** Quantile of the answer length that must fit before the deadline. */
const MEDIAN_LENGTH_QUANTILE = 0.5;

/** Quantile of the answer length that must fit as well while no token has arrived. */
const LONG_ANSWER_QUANTILE = 0.9;

/** Largest fraction of the time from arrival to deadline that a long answer is taken to need. */
const MAX_LONG_ANSWER_FRACTION = 0.8;

/** Returns the key under which the answer lengths of a request's class and pool are recorded. */
export function lengthKey(request: Request): string {
  return `${request.classId}|${request.pool}`;
}

/** Returns the cost of a request with an answer of this length, in output tokens. */
export function computeCost(request: Request, outputTokens: number): number {
  return request.promptTokens * PROMPT_TOKEN_COST + outputTokens;
}

/** Estimates the length of the answer to a request, in tokens. */
export function estimateOutputTokens(core: Core, request: Request): number {
  return predictMeanTokens(core.prediction, lengthKey(request), request.maxOutputTokens);
}

/** Estimates the cost of a request, in output tokens. */
export function estimateCost(core: Core, request: Request): number {
  return computeCost(request, estimateOutputTokens(core, request));
}

/**
 * Estimates the remaining cost of a request with `produced` tokens so far, in output tokens.
 * Without enough recorded answers it assumes one token, or no request would be tried.
 */
export function estimateRemainingCost(
  core: Core,
  request: Request,
  produced: number,
  quantile = MEDIAN_LENGTH_QUANTILE,
): number {
  const source = lengthKey(request);
  if (!hasEnoughAnswers(core.prediction, source)) return computeCost(request, 1);
  const { maxOutputTokens } = request;
  const output = predictRemainingTokens(
    core.prediction,
    source,
    produced,
    maxOutputTokens,
    quantile,
  );
  return computeCost(request, output);
}

/**
 * Says whether a request is too unlikely to end before its deadline to be started or continued.
 * Before its first token a long answer must fit as well. The time taken for it is capped at a
 * fraction of the time from arrival to deadline: uncapped, no wait would be short enough.
 */
export function isDeadlineUnreachable(
  core: Core,
  request: Request,
  produced: number,
  now: number,
): boolean {
  const pace = msPerToken(core.placement, request.pool);
  const medianMs = estimateRemainingCost(core, request, produced) * pace;
  if (now + medianMs > request.deadline) return true;
  if (produced > 0) return false;
  const longAnswerMs = estimateRemainingCost(core, request, 0, LONG_ANSWER_QUANTILE) * pace;
  const windowMs = request.deadline - request.arrivedAt;
  return now + Math.min(longAnswerMs, windowMs * MAX_LONG_ANSWER_FRACTION) > request.deadline;
}
