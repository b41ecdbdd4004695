import { describe, itSerial } from '@filbertlatch/core/testing';

import {
  playUnframedScenario,
  type UnframedOutcome,
  type UnframedScenario,
} from './unframedFleet.js';

/** Seeds of each scenario; one in CI, more by hand. */
const SEEDS = Number(process.env.UNFRAMED_SEEDS ?? 1);

const basis: UnframedScenario = {
  seed: 1,
  endpoints: 4,
  requests: 150,
  everyMs: [10, 40],
  end: 'close',
  identity: 'new',
  ending: 'crash',
  endEveryMs: 400,
  downMs: [300, 600],
};

function describeOutcome({ endDelaysMs, ...outcome }: UnframedOutcome): string {
  const at = (part: number) => Math.round(endDelaysMs[Math.floor(endDelaysMs.length * part)] ?? 0);
  return JSON.stringify({ ...outcome, delayMs: { p50: at(0.5), p95: at(0.95), p99: at(0.99) } });
}

const crashes: Readonly<Record<string, Partial<UnframedScenario>>> = {
  'that is back later': {},
  'whose address has another endpoint 40 ms later': { downMs: [40, 40] },
};

describe('an answer without length and chunks', () => {
  Object.entries(crashes).forEach(([title, changes]) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      itSerial(
        `is never complete after a crash of its endpoint ${title} (seed ${seed})`,
        async (t) => {
          const outcome = await playUnframedScenario({ ...basis, ...changes, seed });
          t.log(describeOutcome(outcome));
          t.true(outcome.ends > 0 && outcome.whole > 0);
          t.is(outcome.falseEnds, 0);
          t.is(outcome.repeated, 0);
        },
      );
    }
  });

  const sound: Readonly<Record<string, Partial<UnframedScenario>>> = {
    'beside many others that end': { ending: 'none', everyMs: [0, 4], requests: 300 },
    'when its endpoint leaves directly after it': { ending: 'leave' },
  };
  Object.entries(sound).forEach(([title, changes]) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      itSerial(`reaches its caller whole ${title} (seed ${seed})`, async (t) => {
        const outcome = await playUnframedScenario({ ...basis, ...changes, seed });
        t.log(describeOutcome(outcome));
        t.true(outcome.whole > 0);
        t.is(outcome.cut, 0);
        t.is(outcome.falseEnds, 0);
        t.is(outcome.repeated, 0);
      });
    }
  });
});
