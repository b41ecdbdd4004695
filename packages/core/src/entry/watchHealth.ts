import {
  detectStragglers,
  isScanDue,
  recordProbeResult,
  measureTokenGaps,
  takeDueProbes,
  type PhaseChange,
  type StreamProgress,
} from '../health/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { cancelLateStreams } from './cancelLateStreams.js';
import { increment } from './counters.js';
import type { MessageOf } from './message.js';

function listStreams(core: Core): StreamProgress[] {
  const streams: StreamProgress[] = [];
  for (const [attemptId, { attempt, firstTokenAt, produced }] of core.attempts) {
    if (firstTokenAt === null) continue;
    streams.push({ attemptId, endpointId: attempt.endpointId, produced });
  }
  return streams;
}

function reportPhaseChange(core: Core, change: PhaseChange, actions: Action[]): void {
  const isEjected = change.phase === 'ejected';
  if (isEjected) increment(core, 'ejections');
  const code = isEjected ? 'endpoint_ejected' : 'endpoint_restored';
  const fields = { endpoint: change.endpointId, cause: 'straggler' };
  actions.push({ kind: 'state-changed', level: isEjected ? 'warn' : 'info', code, fields });
}

/** Cancels late streams, ejects or restores stragglers of each pool, and sends the probes due. */
export function watchHealth(core: Core, now: number, actions: Action[]): void {
  const { view } = core.table;
  if (view === null || !isScanDue(core.health, now)) return;
  cancelLateStreams(core, now, actions);
  measureTokenGaps(core.health, listStreams(core), now);
  for (const pool of core.admission.pools.keys()) {
    const ids = (view.pools.get(pool) ?? []).map((endpoint) => endpoint.id);
    detectStragglers(core.health, ids, now).forEach((change) =>
      reportPhaseChange(core, change, actions),
    );
  }
  takeDueProbes(core.health, now).forEach((id) => {
    const endpoint = view.endpoints.get(id);
    if (endpoint !== undefined) actions.push({ kind: 'probe', endpoint });
  });
}

/** Records the result of a probe. */
export function onProbeEnded(core: Core, message: MessageOf<'probe-ended'>, now: number): void {
  recordProbeResult(core.health, message.endpointId, message.healthy, now);
}
