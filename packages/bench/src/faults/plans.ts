import { setTimeout as sleep } from 'node:timers/promises';

import type { Target } from '../targets.js';
import { FaultExperiment, POISON_TEXT, type FaultPlan } from './faultExperiment.js';

/** From the begin of the load to the first fault. */
const FAULT_START_MS = 2000;
const FAULT_DURATION_MS = 400;
/** Time for which a stopped VM stays in the published list. */
const LISTED_AFTER_STOP_MS = 2000;
/** Tokens that a faulty engine sends of each stream before it cuts or stalls it. */
const TOKENS_BEFORE_FAULT = 4;

function atLeast(figure: string, value: number): Target {
  return { figure, bound: 'at-least', value, factor: 1, plus: 0 };
}

function atMost(figure: string, value: number): Target {
  return { figure, bound: 'at-most', value, factor: 1, plus: 0 };
}

const planDefaults = { resendsAll: false, extraPrompts: [], targets: [] } as const;

/** The plans of all fault experiments. */
export const faultPlans: readonly FaultPlan[] = [
  {
    ...planDefaults,
    name: 'resend-storm',
    summary: 'Every caller sends its request once more, to another VM.',
    resendsAll: true,
    targets: [atLeast('goodput.hold', 0.99)],
    cause: async () => {},
  },
  {
    ...planDefaults,
    name: 'entry-crash',
    summary: 'One of six VMs stops abruptly and stays in the published list for two seconds.',
    targets: [atLeast('goodput.hold', 0.99)],
    cause: async (fleet) => {
      await sleep(FAULT_START_MS);
      await fleet.entries[0]!.stop();
      await sleep(LISTED_AFTER_STOP_MS);
      fleet.publishListWithout(['vm-0']);
    },
  },
  {
    ...planDefaults,
    name: 'crash-mid-stream',
    summary: 'One engine of each model cuts every stream for 0.4 seconds.',
    cause: async (fleet) => {
      await sleep(FAULT_START_MS);
      const broken = fleet.engines.filter(({ id }) => id.endsWith('-0'));
      broken.forEach(({ switches }) =>
        Object.assign(switches, { truncatesAfter: TOKENS_BEFORE_FAULT }),
      );
      await sleep(FAULT_DURATION_MS);
      broken.forEach(({ switches }) => Object.assign(switches, { truncatesAfter: null }));
    },
  },
  {
    ...planDefaults,
    name: 'silent-connections',
    summary: 'Streams of one engine of each model stall for ever while newer ones work.',
    cause: async (fleet) => {
      await sleep(FAULT_START_MS);
      const broken = fleet.engines.filter(({ id }) => id.endsWith('-0'));
      broken.forEach(({ switches }) =>
        Object.assign(switches, { silentAfter: TOKENS_BEFORE_FAULT }),
      );
      await sleep(FAULT_DURATION_MS);
      broken.forEach(({ switches }) => Object.assign(switches, { silentAfter: null }));
    },
  },
  {
    ...planDefaults,
    name: 'poison',
    summary: 'One prompt crashes every engine that runs it, and its caller sends it again.',
    extraPrompts: [`${POISON_TEXT} pill`],
    targets: [atMost('crashes', 3)],
    cause: async (fleet) => {
      fleet.engines.forEach(({ switches }) => Object.assign(switches, { crashesOn: POISON_TEXT }));
    },
  },
];

/** The fault experiments, one for each plan. */
export const faultExperiments = faultPlans.map((plan) => new FaultExperiment(plan));
