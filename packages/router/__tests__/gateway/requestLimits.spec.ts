import { describe, it, itKnownRed, itSerial } from '@filbertlatch/core/testing';

import { playLimitScenario, type LimitOutcome } from './limitFleet.js';
import { drawLimitScenario, type LimitScenario } from './limitScenario.js';

/** Groups of drawn scenarios to play; one in CI, ten or more by hand. */
const SEED_GROUPS = Number(process.env.LIMIT_SEED_GROUPS ?? 1);
const SEEDS_AT_ONCE = 4;

/** Least part of a limit that is used while more requests come than all limits allow. */
const MIN_USE = 0.5;

/** Time within which a request is refused that cannot be sent. */
const MAX_REFUSAL_MS = 500;

const basis: LimitScenario = {
  seed: 1,
  vms: 8,
  endpoints: 3,
  limited: 1,
  limits: [{ atMs: 500, perSecond: 3 }],
  requestsPerSecond: 60,
  firstVmFraction: 0,
  streams: 0,
  broken: 0,
  refused: 0,
  restart: 'none',
  cutOffMs: null,
  peerLoss: 0,
  endpointRestartMs: null,
  lengthMs: 13_000,
};

const scenarios: Readonly<Record<string, Partial<LimitScenario>>> = {
  'from many VMs': {},
  'from many VMs whose traffic is uneven': { firstVmFraction: 0.9 },
  'below one a second': { limits: [{ atMs: 500, perSecond: 0.4 }] },
  'that falls': {
    limits: [
      { atMs: 500, perSecond: 12 },
      { atMs: 5000, perSecond: 2 },
    ],
  },
  'that rises, ends and begins again': {
    limits: [
      { atMs: 500, perSecond: 1 },
      { atMs: 4500, perSecond: 5 },
      { atMs: 7500, perSecond: null },
      { atMs: 9000, perSecond: 2.5 },
    ],
    lengthMs: 17_000,
  },
  'on the heads of streams': { streams: 1 },
  'on refusals': { refused: 0.6 },
  'of all endpoints of a service': { limited: 3 },
  'while connections break and are probed': { broken: 0.3 },
  'while an endpoint restarts under its id': { endpointRestartMs: 4000 },
  'while VMs restart in turn': { restart: 'in-turn', lengthMs: 17_000 },
  'while one half of the VMs restarts and then the other': { restart: 'half', lengthMs: 17_000 },
  'while all VMs restart': { restart: 'together', lengthMs: 17_000 },
  'while half of the VMs leave': { restart: 'leave', lengthMs: 17_000 },
  'while VMs are cut off from their peers in turn': { cutOffMs: 1500 },
  'while VMs lose messages between them': { peerLoss: 0.4 },
};

/** Scenarios whose slowest refusal is listed in KNOWN-RED.txt. */
const SLOW_REFUSALS: ReadonlySet<string> = new Set([
  'on refusals',
  'of all endpoints of a service',
]);

const drawnSeeds = (group: number) =>
  Array.from({ length: SEEDS_AT_ONCE }, (_, index) => group * SEEDS_AT_ONCE + index + 1);

const describeExcess = ({ excess }: LimitOutcome) => `${excess.toFixed(1)} requests too many`;

/** The seeds of a group are played at once, when the first of their cases asks for its outcome. */
function createGroup(group: number): () => readonly Promise<LimitOutcome>[] {
  let plays: readonly Promise<LimitOutcome>[] | null = null;
  return () => {
    if (plays === null) {
      plays = drawnSeeds(group).map((seed) => playLimitScenario(drawLimitScenario(seed)));
      void Promise.allSettled(plays);
    }
    return plays;
  };
}

describe('an endpoint that names a limit for all VMs together', () => {
  describe('gets no more than the limit allows', () => {
    Object.entries(scenarios).forEach(([title, changes], index) => {
      it(title, async (t) => {
        const outcome = await playLimitScenario({ ...basis, seed: index + 1, ...changes });
        t.true(outcome.excess <= 0, describeExcess(outcome));
        t.true(outcome.use >= MIN_USE, `used to ${outcome.use.toFixed(2)}`);
        t.is(outcome.untrueRefusals, 0);
        if (!SLOW_REFUSALS.has(title)) {
          t.true(outcome.slowestRefusalMs <= MAX_REFUSAL_MS, `${outcome.slowestRefusalMs} ms`);
        }
        t.true(outcome.served > 0);
      });

      if (!SLOW_REFUSALS.has(title)) return;
      itKnownRed(`${title}, and refuses at once what cannot be sent`, async (t) => {
        const outcome = await playLimitScenario({ ...basis, seed: index + 1, ...changes });
        t.true(outcome.slowestRefusalMs <= MAX_REFUSAL_MS, `${outcome.slowestRefusalMs} ms`);
      });
    });

    for (let group = 0; group < SEED_GROUPS; group += 1) {
      const playGroup = createGroup(group);
      drawnSeeds(group).forEach((seed, index) => {
        itSerial(`in a mix of these (seed ${seed})`, async (t) => {
          const outcome = await playGroup()[index]!;
          t.true(outcome.excess <= 0, describeExcess(outcome));
          t.is(outcome.untrueRefusals, 0);
        });
      });
    }
  });
});
