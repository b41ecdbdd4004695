import { describe, it, itSerial } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import { playSegmentScenario, type SegmentOutcome, type Share } from './segmentFleet.js';
import { drawSegmentScenario, type SegmentScenario } from './segmentScenario.js';

/** Requests with a crashing segment that may still reach endpoints late. */
const MAX_LATE_SENDS = 3;

/** Least fraction of the calm share of served requests that sound requests must keep. */
const MIN_SERVED_FRACTION = 0.5;

/** Longest time for which a sound segment may be refused. */
const MAX_REFUSAL_MS = 3000;

/** Groups of drawn scenarios to play; one in CI, ten or more by hand. */
const SEED_GROUPS = Number(process.env.SEGMENT_SEED_GROUPS ?? 1);
const FIRST_SEED = Number(process.env.SEGMENT_FIRST_SEED ?? 1);
const SEEDS_AT_ONCE = 4;

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
  framing: 'chunks',
  timeoutMs: 3000,
  resends: true,
  restart: 'none',
  restartAtMs: 7000,
  peerLoss: 0,
  cutOffMs: null,
  killEveryMs: null,
  storeSilentAtMs: null,
  lengthMs: 20_000,
};

const rateOf = ({ sent, served }: Share) => served / Math.max(1, sent);

function describeOutcome({ records, ...outcome }: SegmentOutcome): string {
  const crashes = [...records.values()].map((record) => record.crashes.length);
  return JSON.stringify({ ...outcome, crashes });
}

/** Checks the bounds that hold in every scenario with a crashing segment. */
function checkOutcome(t: ExecutionContext, outcome: SegmentOutcome): void {
  const text = describeOutcome(outcome);
  t.log(text);
  t.true(outcome.calm.served > 0, text);
  t.true(outcome.lateSends <= MAX_LATE_SENDS, text);
  t.true(rateOf(outcome.late) >= MIN_SERVED_FRACTION * rateOf(outcome.calm), text);
  t.true(outcome.longestRefusalMs <= MAX_REFUSAL_MS, text);
}

const scenarios: Readonly<Record<string, Partial<SegmentScenario>>> = {
  'in the middle, crash after the head': {},
  'in the first place, crash before any byte': { place: 'first', crashAt: 'before' },
  'next to the last of eight, crash after the first event': {
    place: 'next-to-last',
    segments: 8,
    crashAt: 'event',
    isResumable: true,
  },
  'after the first event, and the connections just close': {
    crashAt: 'event',
    end: 'close',
    framing: 'none',
  },
  'of two, beside segments that are always new': { place: 'first', segments: 2, middle: 'new' },
  'and the endpoint falls silent for longer than callers wait': {
    end: 'silent',
    downMs: [6000, 7000],
    leaseMs: 5000,
    timeoutMs: 6000,
    endpoints: 14,
    lengthMs: 24_000,
  },
  'in two requests in five seconds': {
    crashingEveryMs: [2400, 2600],
    resends: false,
    lengthMs: 24_000,
  },
  'ten times a second, while first events are slow': {
    crashingEveryMs: [90, 110],
    firstEventMs: [400, 900],
    endpoints: 12,
  },
  'at one VM of eight': { vms: 8, crashingVms: 1 },
  'beside two others, each with a companion': {
    crashingSegments: 3,
    companions: 0.8,
    endpoints: 12,
    crashingEveryMs: [600, 900],
  },
  'while messages between VMs are lost': { peerLoss: 0.3, vms: 8 },
  'while VMs restart in turn': { restart: 'in-turn', restartAtMs: 5000, lengthMs: 21_000 },
  'while VMs are cut off from peers': { cutOffMs: 1500, vms: 6 },
  'while endpoints end for other reasons': { killEveryMs: 700, crashingEveryMs: [600, 900] },
  'before all VMs restart': { restart: 'together', restartAtMs: 8000, lengthMs: 20_000 },
  'under the same id, while the store is away': { identity: 'kept', storeSilentAtMs: 3000 },
};

const otherEnds: Readonly<Record<string, Partial<SegmentScenario>>> = {
  'beside heavy traffic with one first segment': { soundPerSecond: 100 },
  'beside light traffic': { soundPerSecond: 4 },
  'beside segments that are always new': { middle: 'new' },
  'where the service has three': { endpoints: 3, killEveryMs: 1200, downMs: [600, 1000] },
  'where the service has one': { endpoints: 1, killEveryMs: 2000, downMs: [300, 600] },
  'and fall silent': { end: 'silent', killEveryMs: 1500, downMs: [2500, 3000] },
};

describe('a segment of prompts, no two alike, that crashes endpoints that begin to answer', () => {
  describe('is stopped on all VMs, and requests beside it are served,', () => {
    Object.entries(scenarios).forEach(([title, changes], index) => {
      it(title, async (t) => {
        const outcome = await playSegmentScenario({ ...basis, seed: index + 1, ...changes });
        checkOutcome(t, outcome);
        t.true(outcome.crashes > 0);
      });
    });

    for (let group = 0; group < SEED_GROUPS; group += 1) {
      const seeds = Array.from(
        { length: SEEDS_AT_ONCE },
        (_, index) => FIRST_SEED + group * SEEDS_AT_ONCE + index,
      );
      itSerial(`in mixes of these (seeds ${seeds.join(', ')})`, async (t) => {
        const outcomes = await Promise.all(
          seeds.map((seed) => playSegmentScenario(drawSegmentScenario(seed))),
        );
        outcomes.forEach((outcome) => checkOutcome(t, outcome));
      });
    }
  });
});

describe('endpoints that end ten or twenty times for other reasons than a segment', () => {
  describe('make no segment refused for long', () => {
    Object.entries(otherEnds).forEach(([title, changes], index) => {
      it(title, async (t) => {
        const outcome = await playSegmentScenario({
          ...basis,
          seed: index + 1,
          crashingSegments: 0,
          killEveryMs: 600,
          ...changes,
        });
        const text = describeOutcome(outcome);
        t.log(text);
        t.true(outcome.longestRefusalMs <= MAX_REFUSAL_MS, text);
      });
    });
  });
});
