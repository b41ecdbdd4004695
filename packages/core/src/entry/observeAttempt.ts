import { recordFailure, recordSuccess } from '../health/index.js';
import { releaseSlot } from '../placement/index.js';
import { recordLength } from '../prediction/index.js';
import type { AttemptEnd } from '../types/index.js';
import type { Action } from './action.js';
import type { Core, LiveAttempt, LiveRequest } from './core.js';
import { count } from './counters.js';
import { lengthSource } from './expectTokens.js';

/** Learns from the first token of an attempt. */
export function observeFirstToken(_core: Core, ended: LiveAttempt, now: number): void {
  ended.firstTokenAt = now;
}

/** Learns from the end of an attempt, and frees its slot. */
export function observeEnd(
  core: Core,
  ended: LiveAttempt,
  end: AttemptEnd,
  now: number,
  actions: Action[],
): void {
  const { endpointId } = ended.attempt;
  releaseSlot(core.placement, endpointId, ended.expectedTokens);
  if (end.kind === 'complete') recordSuccess(core.health, endpointId);
  if (end.kind !== 'failed' || end.cause === 'invalid') return;
  if (!recordFailure(core.health, endpointId, now)) return;
  count(core, 'ejections');
  const fields = { endpoint: endpointId, cause: end.cause };
  actions.push({ kind: 'state-changed', level: 'warn', code: 'endpoint_ejected', fields });
}

/** Learns from a whole answer. */
export function observeAnswer(core: Core, live: LiveRequest, outputTokens: number): void {
  recordLength(core.prediction, lengthSource(live.request), outputTokens);
}
