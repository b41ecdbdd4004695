import { describe, itSerial } from '@filbertlatch/core/testing';

import { playLateScenario, type LateScenario } from './lateFleet.js';
import { MAX_FAULTY_REQUESTS, maxOverlongDeadlines } from './lateMeasures.js';

/** Seeds of each scenario; one in CI, more by hand. */
const SEEDS = Number(process.env.LATE_SEEDS ?? 1);

/** No turn is late, but each accepts one connection only. */
const BUSY_TURNS = { takenMs: 40, leftMs: 0, forMs: 5000 };

const basis: LateScenario = {
  seed: 1,
  rate: 150,
  paths: ['/safe/', '/plain/', '/resumed/'],
  connections: ['new'],
  waitMs: 1000,
  patientWaitMs: 1000,
  runMs: 20,
  standstills: [BUSY_TURNS],
  calmMs: 700,
  afterMs: 3300,
  isTransit: false,
};

const scenarios: Readonly<Record<string, Partial<LateScenario>>> = {
  'new connections': {},
  'new and kept connections': { connections: ['new', 'kept'], rate: 300 },
};

describe('requests that wait to be accepted by a VM', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    Object.entries(scenarios).forEach(([title, changes]) => {
      itSerial(`are not sent on after their callers left: ${title} (seed ${seed})`, async (t) => {
        const outcome = await playLateScenario({ ...basis, ...changes, seed });
        t.log(JSON.stringify(outcome));
        t.true(outcome.lateSends <= MAX_FAULTY_REQUESTS, 'late sends');
        t.true(outcome.overlongDeadlines <= maxOverlongDeadlines(outcome), 'overlong deadlines');
        t.true(outcome.ends.cut <= MAX_FAULTY_REQUESTS, 'lost');
      });
    });
  }
});
