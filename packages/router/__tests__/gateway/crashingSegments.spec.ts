import { describe, itFails } from '@filbertlatch/core/testing';

import { playSegmentScenario, type SegmentOutcome, type Share } from './segmentFleet.js';
import type { SegmentScenario } from './segmentScenario.js';

/** Requests with a crashing segment that may still reach endpoints late. */
const MAX_LATE_SENDS = 3;

/** Least fraction of the calm share of served requests that sound requests must keep. */
const MIN_SERVED_FRACTION = 0.5;

/** Longest time for which a sound segment may be refused. */
const MAX_REFUSAL_MS = 3000;

const basis: SegmentScenario = {
  seed: 1,
  vms: 4,
  endpoints: 8,
  end: 'reset',
  identity: 'new',
  downMs: [1500, 2500],
  crashAt: 'head',
  crashingSegments: 1,
  place: 'middle',
  segments: 4,
  crashingEveryMs: [200, 400],
  crashingAtOnce: 1,
  crashingVms: 4,
  companions: 0,
  soundPerSecond: 40,
  middle: 'shared',
  firstEventMs: [20, 60],
  isResumable: false,
  resends: true,
  restart: 'none',
  restartAtMs: 7000,
  peerLoss: 0,
  cutOffMs: null,
  killEveryMs: null,
  storeSilentAtMs: null,
  lengthMs: 15_000,
};

const rateOf = ({ sent, served }: Share) => served / Math.max(1, sent);

function describeOutcome({ records, ...outcome }: SegmentOutcome): string {
  const crashes = [...records.values()].map((record) => record.crashes.length);
  return JSON.stringify({ ...outcome, crashes });
}

const scenarios: Readonly<Record<string, Partial<SegmentScenario>>> = {
  'in the middle, crash after the head': {},
};

describe('a segment of prompts, no two alike, that crashes endpoints that begin to answer', () => {
  Object.entries(scenarios).forEach(([title, changes], index) => {
    itFails(`is stopped on all VMs, and requests beside it are served, ${title}`, async (t) => {
      const outcome = await playSegmentScenario({ ...basis, seed: index + 1, ...changes });
      const text = describeOutcome(outcome);
      t.log(text);
      t.true(outcome.crashes > 0 && outcome.calm.served > 0, text);
      t.true(outcome.lateSends <= MAX_LATE_SENDS, text);
      t.true(rateOf(outcome.late) >= MIN_SERVED_FRACTION * rateOf(outcome.calm), text);
      t.true(outcome.longestRefusalMs <= MAX_REFUSAL_MS, text);
    });
  });
});
