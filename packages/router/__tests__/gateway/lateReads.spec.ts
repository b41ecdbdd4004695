import { describe, itSerial } from '@filbertlatch/core/testing';

import { playLateScenario, type LateScenario } from './lateFleet.js';
import { LEAST_WAITING_SERVED, MAX_FAULTY_REQUESTS, maxOverlongDeadlines } from './lateMeasures.js';

/** Seeds of each scenario; one in CI, more by hand. */
const SEEDS = Number(process.env.LATE_SEEDS ?? 1);

const STANDSTILL = { takenMs: 1500, leftMs: 0, forMs: 0 };

const basis: LateScenario = {
  seed: 1,
  rate: 150,
  paths: ['/safe/'],
  connections: ['new'],
  waitMs: 600,
  patientWaitMs: 3500,
  runMs: 20,
  standstills: [STANDSTILL, STANDSTILL],
  calmMs: 400,
  afterMs: 300,
  isTransit: false,
};

const scenarios: Readonly<Record<string, Partial<LateScenario>>> = {
  'safe requests, new connections': {},
  'safe requests, kept connections': { connections: ['kept'] },
  'requests that run once, new connections': { paths: ['/plain/'] },
  'requests that run once, kept connections': { paths: ['/plain/'], connections: ['kept'] },
  'streams, new connections': { paths: ['/resumed/', '/stream/'] },
  'streams, kept connections': { paths: ['/resumed/', '/stream/'], connections: ['kept'] },
};

/** Requests that go by way of a VM that stands still, whose sender may refuse them meanwhile. */
const transits: Readonly<Record<string, Partial<LateScenario>>> = {
  'safe requests': {},
  'requests that run once': { paths: ['/plain/'] },
  streams: { paths: ['/resumed/', '/stream/'] },
};

/** The load without a standstill, so that a failure of the other cases is not one of the load. */
const unhindered: Partial<LateScenario> = {
  paths: ['/safe/', '/plain/', '/resumed/', '/stream/'],
  connections: ['new', 'kept'],
  waitMs: 3500,
  standstills: [{ takenMs: 0, leftMs: 1500, forMs: 0 }],
};

describe('requests that a VM reads late', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    itSerial(`are none while its event loop runs (seed ${seed})`, async (t) => {
      const outcome = await playLateScenario({ ...basis, ...unhindered, seed });
      t.log(JSON.stringify(outcome));
      t.is(outcome.lateSends, 0);
      t.true(outcome.overlongDeadlines <= maxOverlongDeadlines(outcome), 'overlong deadlines');
      t.true(outcome.ends.cut <= MAX_FAULTY_REQUESTS, 'lost');
      t.true(outcome.waiting > 0);
      t.true(outcome.waitingServed >= LEAST_WAITING_SERVED * outcome.waiting, 'served in time');
    });
    Object.entries(scenarios).forEach(([title, changes]) => {
      itSerial(`are not sent on after their callers left: ${title} (seed ${seed})`, async (t) => {
        const outcome = await playLateScenario({ ...basis, ...changes, seed });
        t.log(JSON.stringify(outcome));
        t.true(outcome.lateSends <= MAX_FAULTY_REQUESTS, 'late sends');
        t.true(outcome.overlongDeadlines <= maxOverlongDeadlines(outcome), 'overlong deadlines');
        t.true(outcome.ends.cut <= MAX_FAULTY_REQUESTS, 'lost');
        t.true(outcome.waitingServed >= LEAST_WAITING_SERVED * outcome.waiting, 'served in time');
      });
    });
    Object.entries(transits).forEach(([title, changes]) => {
      itSerial(`are not sent on for another VM: ${title} (seed ${seed})`, async (t) => {
        const transit = { isTransit: true, connections: ['new', 'kept'] } as const;
        const outcome = await playLateScenario({ ...basis, ...transit, ...changes, seed });
        t.log(JSON.stringify(outcome));
        t.true(outcome.lateSends <= MAX_FAULTY_REQUESTS, 'late sends');
        t.true(outcome.overlongDeadlines <= maxOverlongDeadlines(outcome), 'overlong deadlines');
        t.true(outcome.ends.cut <= MAX_FAULTY_REQUESTS, 'lost');
      });
    });
  }
});
