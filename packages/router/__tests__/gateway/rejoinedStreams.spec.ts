import { describe, itSerial } from '@filbertlatch/core/testing';

import { playRejoinScenario, type RejoinScenario } from './rejoinedFleet.js';

/** Seeds of each scenario; one in CI, more by hand. */
const SEEDS = Number(process.env.REJOIN_SEEDS ?? 1);

const basis: RejoinScenario = {
  seed: 1,
  vms: 4,
  streams: 80,
  endpoints: { v1: 3, v2: 3 },
  gone: 'before',
  survivors: 0,
  store: 'sound',
  kills: 1,
  order: 'at-once',
};

/** Streams of two versions; they may be refused, not joined. */
const several: Readonly<Record<string, Partial<RejoinScenario>>> = {
  'after the older version is gone': {},
  'before the older version is gone': { gone: 'after' },
  'while both versions serve': { gone: 'never' },
  'and the history of the store is gone': { store: 'compacted' },
  'and the store tells no history': { store: 'without-history' },
  'twice in a row': { kills: 2 },
};

/** Streams that must nearly all go on. */
const lasting: Readonly<Record<string, Partial<RejoinScenario>>> = {
  'of the only version': { endpoints: { v1: 4 }, gone: 'never' },
  'of the only version, killed twice in a row': { endpoints: { v1: 4 }, gone: 'never', kills: 2 },
  'of two versions, while two VMs live on': { gone: 'never', survivors: 2 },
  'of two versions, all VMs one after the other': { gone: 'never', order: 'in-turn' },
};

describe('streams that callers take up', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    Object.entries(several).forEach(([title, changes]) => {
      itSerial(
        `do not join two versions when all VMs restart ${title} (seed ${seed})`,
        async (t) => {
          const outcome = await playRejoinScenario({ ...basis, ...changes, seed });
          t.log(JSON.stringify(outcome));
          t.is(outcome.joined, 0);
        },
      );
    });
    Object.entries(lasting).forEach(([title, changes]) => {
      itSerial(`go on when VMs restart: ${title} (seed ${seed})`, async (t) => {
        const outcome = await playRejoinScenario({ ...basis, ...changes, seed });
        t.log(JSON.stringify(outcome));
        t.is(outcome.joined, 0);
        t.true(outcome.wentOn >= 0.9 * outcome.begun, JSON.stringify(outcome));
      });
    });
  }
});
