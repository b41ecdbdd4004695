import { describe, itSerial } from '@filbertlatch/core/testing';

import type { BrittleOutcome, BrittleScenario } from './brittleFleet.js';
import { playInProcess } from './scenarioProcess.js';

/** Seeds of each scenario; one in CI, more by hand. */
const SEEDS = Number(process.env.BRITTLE_SEEDS ?? 1);

const player = new URL('brittlePlayer.js', import.meta.url);

const play = (scenario: BrittleScenario) =>
  playInProcess<BrittleScenario, BrittleOutcome>(player, scenario);

const basis: BrittleScenario = {
  seed: 1,
  vms: 4,
  endpoints: 6,
  brittleness: 4,
  load: 1.5,
  room: [16, 5],
};

const scenarios: Readonly<Record<string, Partial<BrittleScenario>>> = {
  'half as much again as they can do': {},
  'four times what they can do': { load: 4 },
  'half as much again, and fall at the second request turned away, before eight VMs': {
    brittleness: 1,
    vms: 8,
  },
};

/** Least part of what the endpoints can do that is served. */
const LEAST_SERVED = 0.7;

describe('endpoints that fall over when they turn requests away', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    Object.entries(scenarios).forEach(([title, changes]) => {
      itSerial(`rarely do, and are used, when asked ${title} (seed ${seed})`, async (t) => {
        const scenario = { ...basis, ...changes, seed };
        const { outcome, loopDelayMs } = await play(scenario);
        t.log(JSON.stringify({ loopDelayMs, ...outcome }));
        t.true(outcome.falls <= 2 + 0.1 * scenario.endpoints, JSON.stringify(outcome));
        t.true(outcome.served >= LEAST_SERVED, JSON.stringify(outcome));
      });
    });
  }
});
