import { predictRemaining } from '../prediction/index.js';
import type { Request } from '../types/index.js';
import type { Core } from './core.js';

const MEDIAN = 0.5;

/** Returns the name under which answer lengths of a request are learnt. */
export function lengthSource(request: Request): string {
  return `${request.classId}|${request.pool}`;
}

/** Returns the tokens a request is expected to cost: its prompt and its predicted answer. */
export function expectTokens(core: Core, request: Request): number {
  const source = lengthSource(request);
  const output = predictRemaining(core.prediction, source, 0, request.maxOutputTokens, MEDIAN);
  return request.promptTokens + output;
}
