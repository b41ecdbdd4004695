import { describe, itSerial } from '@filbertlatch/core/testing';

import { isInTime, playOverload, sumWorth, TARGET_MS, type Outcome } from './overloadScenario.js';

/** Seconds of each play and seed of its arrivals; others by hand. */
const SECONDS = Number(process.env.OVERLOAD_SECONDS ?? 5);
const SEED = Number(process.env.OVERLOAD_SEED ?? 1);

/** Least part of each that the VM owes. */
const TARGET_PART = 0.9;

/** Requests of callers that the VM can serve. */
const steady = { urgent: 5, normal: 20 };
const peak = { steady, flood: { urgent: 10, normal: 50 } };

/** Three times as many, all more from one account. */
const overload = { steady, flood: { urgent: 20, normal: 255 } };

const partOf = (outcomes: readonly Outcome[], isCounted: (outcome: Outcome) => boolean) =>
  outcomes.filter(isCounted).length / outcomes.length;

const isRefusedEarly = ({ status, elapsedMs }: Outcome) =>
  status === 503 && elapsedMs <= TARGET_MS / 8;

/** Returns the parts of what the VM owes in an overload that it kept. */
function measureOverload(before: readonly Outcome[], during: readonly Outcome[]) {
  const ofSteady = during.filter(({ account }) => account === 'steady');
  const urgent = during.filter(({ urgency }) => urgency === 'urgent');
  const unserved = during.filter(({ status }) => status !== 200);
  return {
    'worth served, of the peak': sumWorth(during) / sumWorth(before),
    'requests of the other account served in time': partOf(ofSteady, isInTime),
    'urgent requests served in time': partOf(urgent, isInTime),
    'unserved requests that were refused early': partOf(unserved, isRefusedEarly),
  };
}

// A VM short of processor time reads requests faster than it can send them. Begun in the order in
// which they are read, all are late, and a flood of one account takes the time of all others.
describe('a VM with three times the requests that its processor can send', () => {
  itSerial('serves what matters most and refuses the rest early', async (t) => {
    const [before, during] = await playOverload([
      { ...peak, seconds: SECONDS, seed: SEED },
      { ...overload, seconds: SECONDS, seed: SEED },
    ]);
    const parts = measureOverload(before!, during!);
    const missed = Object.entries(parts).filter(([, part]) => !(part >= TARGET_PART));
    t.deepEqual(missed, []);
  });
});
