import type { ExecutionContext } from 'ava';

import type { SegmentOutcome, Share } from './segmentFleet.js';

/** Requests with a crashing segment that may still reach endpoints late. */
const MAX_LATE_SENDS = 3;

/** Least fraction of the calm share of served requests that sound requests must keep. */
const MIN_SERVED_FRACTION = 0.5;

/** Sound requests from which on their share is judged. */
const MIN_JUDGED = 20;

/** Longest time for which a sound segment may be refused. */
const MAX_REFUSAL_MS = 3000;

const rateOf = ({ sent, served }: Share) => served / Math.max(1, sent);

function describeOutcome({ records, ...outcome }: SegmentOutcome): string {
  const crashes = [...records.values()].map((record) => record.crashes.length);
  return JSON.stringify({ ...outcome, crashes });
}

/** Checks that no sound segment was refused for long. */
export function checkRefusals(t: ExecutionContext, outcome: SegmentOutcome): void {
  const text = describeOutcome(outcome);
  t.log(text);
  t.true(outcome.longestRefusalMs <= MAX_REFUSAL_MS, text);
}

/** Checks that sound segments were not refused again and again either. */
export function checkRefusedTotal(
  t: ExecutionContext,
  { refused }: SegmentOutcome,
  soundPerSecond: number,
): void {
  t.true(refused <= (soundPerSecond * MAX_REFUSAL_MS) / 1000, `${refused} refused`);
}

/** Checks the bounds that hold in every scenario with a crashing segment. */
export function checkOutcome(t: ExecutionContext, outcome: SegmentOutcome): void {
  const text = describeOutcome(outcome);
  t.true(outcome.calm.served > 0, text);
  t.true(outcome.lateSends <= MAX_LATE_SENDS, text);
  if (outcome.late.sent >= MIN_JUDGED) {
    t.true(rateOf(outcome.late) >= MIN_SERVED_FRACTION * rateOf(outcome.calm), text);
  }
  checkRefusals(t, outcome);
}
