import { setTimeout as sleep } from 'node:timers/promises';

import type { Target } from '../targets.js';
import { FaultExperiment, POISON, type FaultPlan } from './faultExperiment.js';

const FIRST_FAULT_MS = 2000;
const FAULT_MS = 400;
const LISTED_MS = 2000;
const TOKENS_BEFORE_FAULT = 4;

function atLeast(figure: string, value: number): Target {
  return { figure, bound: 'at-least', value, factor: 1, plus: 0 };
}

function atMost(figure: string, value: number): Target {
  return { figure, bound: 'at-most', value, factor: 1, plus: 0 };
}

const quiet = { resendsAll: false, extraPrompts: [], targets: [] } as const;

/** What goes wrong in each fault experiment. */
export const faultPlans: readonly FaultPlan[] = [
  {
    ...quiet,
    name: 'resend-storm',
    summary: 'Every caller sends its request once more, to another VM.',
    resendsAll: true,
    targets: [atLeast('goodput.hold', 0.99)],
    cause: async () => {},
  },
  {
    ...quiet,
    name: 'entry-crash',
    summary: 'One of six VMs stops at once; it stays in the published list for two seconds.',
    targets: [atLeast('goodput.hold', 0.99)],
    cause: async (fleet) => {
      await sleep(FIRST_FAULT_MS);
      await fleet.entries[0]!.stop();
      await sleep(LISTED_MS);
      fleet.publishListWithout(['vm-0']);
    },
  },
  {
    ...quiet,
    name: 'crash-mid-stream',
    summary: 'One engine of each model cuts every stream for a while.',
    cause: async (fleet) => {
      await sleep(FIRST_FAULT_MS);
      const broken = fleet.engines.filter(({ id }) => id.endsWith('-0'));
      broken.forEach(({ switches }) =>
        Object.assign(switches, { truncatesAfter: TOKENS_BEFORE_FAULT }),
      );
      await sleep(FAULT_MS);
      broken.forEach(({ switches }) => Object.assign(switches, { truncatesAfter: null }));
    },
  },
  {
    ...quiet,
    name: 'silent-connections',
    summary: 'Streams of one engine of each model go silent for good while new ones work.',
    cause: async (fleet) => {
      await sleep(FIRST_FAULT_MS);
      const broken = fleet.engines.filter(({ id }) => id.endsWith('-0'));
      broken.forEach(({ switches }) =>
        Object.assign(switches, { silentAfter: TOKENS_BEFORE_FAULT }),
      );
      await sleep(FAULT_MS);
      broken.forEach(({ switches }) => Object.assign(switches, { silentAfter: null }));
    },
  },
  {
    ...quiet,
    name: 'poison',
    summary: 'One prompt crashes each engine that runs it, and its caller sends it again.',
    extraPrompts: [`${POISON} pill`],
    targets: [atMost('crashes', 3)],
    cause: async (fleet) => {
      fleet.engines.forEach(({ switches }) => Object.assign(switches, { crashesOn: POISON }));
    },
  },
];

/** The fault experiments. */
export const faultExperiments = faultPlans.map((plan) => new FaultExperiment(plan));
