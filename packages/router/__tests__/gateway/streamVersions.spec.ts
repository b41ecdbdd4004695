import { describe, itSerial } from '@filbertlatch/core/testing';

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
  releaseEveryMs: null,
};

const resumed: Readonly<Record<string, Partial<VersionScenario>>> = {
  'that their endpoints break off and the gateway resumes': { broken: 'endpoint', streams: 160 },
};

const takenUp: Readonly<Record<string, Partial<VersionScenario>>> = {
  'that callers take up at any VM': {},
  'that callers take up 5 ms later': { awayMs: [5, 5] },
  'that callers take up three times': { takeUps: 3, readEvents: [1, 6] },
  'that callers take up after the VM that began them has restarted': { origin: 'restarts' },
  'that callers take up while half of the messages between VMs are lost': { peerLoss: 0.5 },
  'that callers take up while two endpoints of six serve the old version': {
    endpoints: { v1: 2, v2: 6 },
  },
  'that callers take up while a release replaces endpoints, back and forth': {
    releaseEveryMs: 50,
    streams: 200,
  },
  'that callers take up while one version serves, whatever they say of it': {
    endpoints: { v1: 4 },
    resumes: 'none',
  },
};

const unproven: Readonly<Record<string, Partial<VersionScenario>>> = {
  'of a stranger': { resumes: 'stranger' },
  'that is malformed': { resumes: 'malformed' },
  'that is missing': { resumes: 'none' },
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
      itSerial(`${title} go on, and never at another version (seed ${seed})`, (t) =>
        check(t, { ...basis, ...changes, seed }),
      );
    });
    Object.entries(unproven).forEach(([title, changes]) => {
      itSerial(
        `are refused as not run to callers with a name ${title} (seed ${seed})`,
        async (t) => {
          const outcome = await playVersionScenario({ ...basis, streams: 40, ...changes, seed });
          t.log(JSON.stringify(outcome));
          t.is(outcome.joined, 0);
          t.is(outcome.refused, outcome.broken);
        },
      );
    });
    Object.entries(takenUp).forEach(([title, changes]) => {
      itSerial(`${title} go on, and never at another version (seed ${seed})`, (t) =>
        check(t, { ...basis, ...changes, seed }),
      );
    });
  }
});
