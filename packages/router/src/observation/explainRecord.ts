import { match } from 'ts-pattern';

import type { Candidate, DecisionRecord, DecisionStep } from './decisionRecord.js';

function describeCandidate({ endpointId, zone, inFlight, slots }: Candidate): string {
  return `${endpointId} (${zone}, ${inFlight} of ${slots} slots in use by this VM)`;
}

function describeQueue(waiting: Readonly<Record<string, number>>): string {
  const parts = Object.entries(waiting).map(([classId, count]) => `${count} of ${classId}`);
  return parts.length === 0 ? 'nothing else waits' : parts.join(', ');
}

function describeStep(step: DecisionStep): string {
  return match(step)
    .with({ kind: 'queued' }, ({ waiting }) => `waits; in this pool wait ${describeQueue(waiting)}`)
    .with({ kind: 'dispatched' }, ({ chosen, poolSize, others }) => {
      const rest = others.length === 0 ? 'none' : others.map(describeCandidate).join('; ');
      return `sent to ${describeCandidate(chosen)}, one of ${poolSize}; others: ${rest}`;
    })
    .with({ kind: 'accepted' }, () => 'the endpoint accepted it')
    .with({ kind: 'first-token' }, () => 'the first token came')
    .with({ kind: 'attempt-ended' }, ({ end, cause, verdict }) => {
      const reason = cause === null ? '' : ` (${cause})`;
      return `the attempt ended: ${end}${reason}, verdict ${verdict}`;
    })
    .with({ kind: 'caller-left' }, () => 'the caller closed its connection')
    .with({ kind: 'joined' }, ({ joined }) => `joined ${joined}, which carries the same key`)
    .with({ kind: 'refused' }, ({ code, message, verdict, retryAfterMs }) => {
      const retry = retryAfterMs === null ? '' : `, come back in ${Math.ceil(retryAfterMs)} ms`;
      return `refused with ${code}: ${message} Verdict ${verdict}${retry}`;
    })
    .with({ kind: 'ended' }, ({ outcome }) => `ended: ${outcome}`)
    .exhaustive();
}

/** Describes the decisions about a request in words: a heading, then one line per step. */
export function explainRecord(record: DecisionRecord): string[] {
  const { requestId, classId, accountId, pool, promptTokens, arrivedAt, deadline } = record;
  const head = `${requestId}: ${classId} of ${accountId} for ${pool}, about ${promptTokens} prompt tokens, ${Math.round(deadline - arrivedAt)} ms to answer`;
  const steps = record.steps.map(
    (step) => `+${(step.at - arrivedAt).toFixed(1)} ms ${describeStep(step)}`,
  );
  return [head, ...steps];
}
