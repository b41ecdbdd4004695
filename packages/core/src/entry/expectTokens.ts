import { PROMPT_TOKEN_COST } from '../placement/index.js';
import { hasLearned, predictMean, predictRemaining } from '../prediction/index.js';
import type { Request } from '../types/index.js';
import type { Core } from './core.js';

/** Quantile of the answer's length by which a request is held to be able to end in time. */
const IN_TIME_QUANTILE = 0.5;

/** Returns the name under which answer lengths of a request are learnt. */
export function lengthSource(request: Request): string {
  return `${request.classId}|${request.pool}`;
}

/** Returns the cost of a request whose answer has so many tokens, in output tokens. */
export function costOf(request: Request, outputTokens: number): number {
  return request.promptTokens * PROMPT_TOKEN_COST + outputTokens;
}

/** Returns the length that the answer to a request is expected to have, in tokens. */
export function expectOutput(core: Core, request: Request): number {
  return predictMean(core.prediction, lengthSource(request), request.maxOutputTokens);
}

/** Returns the cost a request is expected to have, in output tokens. */
export function expectTokens(core: Core, request: Request): number {
  return costOf(request, expectOutput(core, request));
}

/**
 * Returns the least cost still to come of a request of which some tokens are there: before
 * anything was learnt it is held to be short, for else it could never be tried.
 */
export function expectRemaining(core: Core, request: Request, produced: number): number {
  const source = lengthSource(request);
  if (!hasLearned(core.prediction, source)) return costOf(request, 1);
  const output = predictRemaining(
    core.prediction,
    source,
    produced,
    request.maxOutputTokens,
    IN_TIME_QUANTILE,
  );
  return costOf(request, output);
}
