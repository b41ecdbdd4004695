import { describe, itSerial } from '@filbertlatch/core/testing';

import { CutFleet, type CutScenario, type ServedCount } from './cutFleet.js';

/** Seeds of each scenario; one in CI, more by hand. */
const SEEDS = Number(process.env.CUT_SEEDS ?? 1);

const basis: CutScenario = {
  seed: 1,
  vms: 4,
  endpoints: 6,
  cutVms: 1,
  kind: 'reset',
  route: 'safe',
  everyMs: 25,
  cutMs: 5000,
  healedMs: 2500,
};

const scenarios: Readonly<Record<string, Partial<CutScenario>>> = {
  'one of four VMs whose links are reset': {},
  'two of four VMs whose links are reset, requests that run once': { cutVms: 2, route: 'plain' },
  'one of four VMs whose links are reset, streams': { route: 'resumed' },
  'one of four VMs whose links hang': { kind: 'hang' },
  'one of four VMs whose links hang, streams': { kind: 'hang', route: 'resumed' },
  'three of four VMs whose links hang, requests that run once': {
    kind: 'hang',
    cutVms: 3,
    route: 'plain',
  },
  'five of six VMs whose links hang, streams': {
    vms: 6,
    cutVms: 5,
    kind: 'hang',
    route: 'resumed',
    everyMs: 40,
  },
  'two of four VMs whose links open and hang': { cutVms: 2, kind: 'silent' },
  'one of four VMs whose links live on while new ones are refused': { kind: 'refuse' },
};

/** Least fraction of the requests that is served, of the fraction served before the cut. */
const LEAST_SERVED = 0.9;

const fractionServed = ({ sent, served }: ServedCount) => served / Math.max(1, sent);

describe('VMs without links to endpoints', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    Object.entries(scenarios).forEach(([title, changes]) => {
      itSerial(`serve their callers as the others do: ${title} (seed ${seed})`, async (t) => {
        const outcome = await new CutFleet({ ...basis, ...changes, seed }).play();
        t.log(JSON.stringify(outcome));
        const least = LEAST_SERVED * fractionServed(outcome.calm);
        t.true(fractionServed(outcome.calm) > 0.95);
        t.true(fractionServed(outcome.cut) >= least, 'during the cut, at VMs that are cut');
        t.true(fractionServed(outcome.others) >= least, 'during the cut, at the others');
        t.true(fractionServed(outcome.healedCut) >= least, 'after the cut');
        t.true(fractionServed(outcome.healedOthers) >= least, 'after the cut, at the others');
        t.is(outcome.twice, 0);
        t.is(outcome.untrue, 0);
      });
    });
  }
});
