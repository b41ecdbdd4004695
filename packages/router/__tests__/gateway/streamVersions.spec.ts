import { describe, it, itFails } from '@filbertlatch/core/testing';

import type { ExecutionContext } from 'ava';

import { playVersionScenario, type VersionScenario } from './versionedFleet.js';

/** Seeds of each scenario; one in CI, more by hand. */
const SEEDS = Number(process.env.VERSION_SEEDS ?? 1);

const basis: VersionScenario = {
  seed: 1,
  vms: 4,
  endpoints: { v1: 3, v2: 3 },
  streams: 120,
  everyMs: [5, 25],
  broken: 'caller',
  awayMs: [5, 400],
  readEvents: [1, 20],
  takeUps: 1,
  resumes: 'attempt',
  peerLoss: 0,
  origin: 'stays',
};

const resumed: Readonly<Record<string, Partial<VersionScenario>>> = {
  'that their endpoints break off and the gateway resumes': { broken: 'endpoint', streams: 160 },
};

const takenUp: Readonly<Record<string, Partial<VersionScenario>>> = {
  'that callers take up at any VM': {},
  'that callers take up 5 ms later': { awayMs: [5, 5] },
};

describe('streams of a service with endpoints of two versions', () => {
  const check = async (t: ExecutionContext, scenario: VersionScenario) => {
    const outcome = await playVersionScenario(scenario);
    t.log(JSON.stringify(outcome));
    t.is(outcome.joined, 0);
    t.true(outcome.broken > 0);
    t.true(outcome.wentOn >= outcome.broken / 2, JSON.stringify(outcome));
  };

  for (let seed = 1; seed <= SEEDS; seed += 1) {
    Object.entries(resumed).forEach(([title, changes]) => {
      it(`${title} go on, and never at another version (seed ${seed})`, (t) =>
        check(t, { ...basis, ...changes, seed }));
    });
    Object.entries(takenUp).forEach(([title, changes]) => {
      itFails(`${title} go on, and never at another version (seed ${seed})`, (t) =>
        check(t, { ...basis, ...changes, seed }),
      );
    });
  }
});
