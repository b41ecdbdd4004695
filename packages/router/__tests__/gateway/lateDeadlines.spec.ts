import { describe, itSerial } from '@filbertlatch/core/testing';

import { playLateScenario, type LateScenario } from './lateFleet.js';
import { LEAST_WAITING_SERVED, MAX_FAULTY_REQUESTS, maxOverlongDeadlines } from './lateMeasures.js';

/** Seeds of each scenario; one in CI, more by hand. */
const SEEDS = Number(process.env.LATE_SEEDS ?? 1);

const basis: LateScenario = {
  seed: 1,
  rate: 150,
  paths: ['/safe/'],
  connections: ['new', 'kept'],
  waitMs: 3500,
  patientWaitMs: 3500,
  runMs: 20,
  standstills: [{ takenMs: 1400, leftMs: 0, forMs: 0 }],
  calmMs: 500,
  afterMs: 500,
  isTransit: false,
};

const WHILE_ANSWERS_WAIT = {
  runMs: 150,
  standstills: [{ takenMs: 2400, leftMs: 0, forMs: 0 }],
};

const scenarios: Readonly<Record<string, Partial<LateScenario>>> = {
  'safe requests': {},
  'requests that run once and streams': { paths: ['/plain/', '/resumed/', '/stream/'] },
  'safe requests, while answers wait': WHILE_ANSWERS_WAIT,
  'streams, while answers wait': { ...WHILE_ANSWERS_WAIT, paths: ['/resumed/'] },
};

describe('requests that wait in the sockets of a VM', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    Object.entries(scenarios).forEach(([title, changes]) => {
      itSerial(
        `are not sent on with more time than is left: ${title} (seed ${seed})`,
        async (t) => {
          const outcome = await playLateScenario({ ...basis, ...changes, seed });
          t.log(JSON.stringify(outcome));
          t.true(outcome.overlongDeadlines <= maxOverlongDeadlines(outcome), 'overlong deadlines');
          t.true(outcome.repeatedAfterAnswer <= MAX_FAULTY_REQUESTS, 'sent once more');
          t.true(outcome.ends.cut <= MAX_FAULTY_REQUESTS, 'lost');
          t.true(outcome.waitingServed >= LEAST_WAITING_SERVED * outcome.waiting, 'served in time');
        },
      );
    });
  }
});
