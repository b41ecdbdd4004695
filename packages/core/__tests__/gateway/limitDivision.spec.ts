import { createRandom, randomInteger } from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { playLimitedFleet, type LimitedFleet } from './limitFleet.js';

const SEEDS = [1, 2, 3];

/** Drawn fleets to play; 30 in CI, hundreds by hand. */
const DRAWN_FLEETS = Number(process.env.LIMIT_DRAWN_FLEETS ?? 30);

/** Least part of a limit that is used while many more requests come than it allows. */
const MIN_USE = 0.5;

/** Time after a restart for which the rule excuses a VM. */
const EXCUSED_MS = 3000;

const basis: Omit<LimitedFleet, 'seed'> = {
  vms: 8,
  limitAt: () => 3,
  requestsPerSecond: () => 60,
  weightOf: () => 1,
  isHeard: () => true,
  lengthMs: 25_000,
};

const isApart = (from: number, to: number) => from % 2 !== to % 2;
const isEven = (vm: number) => vm % 2 === 0;

/** VM that restarts at a time while VMs restart in turn; null for none. */
const restartingVm = (at: number, vms: number) =>
  at >= 6000 && at % 2000 === 0 ? (at / 2000) % vms : null;

const fleets: Readonly<Record<string, Partial<LimitedFleet>>> = {
  'whose traffic is even': {},
  'one VM of which gets nine tenths of the traffic': { weightOf: (vm) => (vm === 0 ? 63 : 1) },
  'whose traffic moves to another VM each second': {
    weightOf: (vm, at) => (vm === Math.floor(at / 1000) % 8 ? 10 : 1),
  },
  'of a hundred VMs': { vms: 100, requestsPerSecond: () => 300 },
  'with a limit below one a second': { limitAt: () => 0.3, lengthMs: 60_000 },
  'with a limit of 0': { limitAt: () => 0 },
  'with a high limit': { limitAt: () => 50, requestsPerSecond: () => 200 },
  'with a limit that falls': { limitAt: (at) => (at < 10_000 ? 20 : 1) },
  'with a limit that rises': { limitAt: (at) => (at < 10_000 ? 1 : 10) },
  'with a limit that changes in each answer': {
    limitAt: (at) => 2 + (Math.floor(at / 37) % 10) / 10,
  },
  'that loses nine tenths of its messages': { isHeard: (_from, _to, _at, r) => r.next() > 0.9 },
  'whose halves do not hear each other for a minute': {
    isHeard: (from, to, at) => at < 10_000 || !isApart(from, to),
    lengthMs: 70_000,
  },
  'whose VMs hear nobody any more': { isHeard: (_from, _to, at) => at < 10_000 },
  'half of which goes, with its traffic moving to the others': {
    isHeard: (from, to, at) => at < 10_000 || (isEven(from) && isEven(to)),
    weightOf: (vm, at) => (at < 10_000 || isEven(vm) ? 1 : 0),
    lengthMs: 40_000,
  },
  'all of which restarts': {
    restartsAt: (_vm, at) => at === 10_000,
    isExcused: (_vm, at) => at >= 10_000 && at < 10_000 + EXCUSED_MS,
  },
  'whose VMs restart in turn': {
    restartsAt: (vm, at) => restartingVm(at, 8) === vm,
    isExcused: (vm, at) => {
      for (let back = 0; back < EXCUSED_MS; back += 10) {
        if (restartingVm(at - back, 8) === vm) return true;
      }
      return false;
    },
  },
};

function drawFleet(seed: number): LimitedFleet {
  const random = createRandom(seed);
  const vms = 2 + randomInteger(random, 14);
  const levels = Array.from({ length: 4 }, () => 0.2 + 12 * random.next() ** 3);
  const hotVm = randomInteger(random, vms);
  const hotWeight = 1 + randomInteger(random, 30);
  const loss = random.next() * 0.6;
  const perSecond = 40 + randomInteger(random, 160);
  return {
    seed,
    vms,
    limitAt: (at) => levels[Math.floor(at / 7000) % levels.length]!,
    requestsPerSecond: (at) => (Math.floor(at / 3000) % 3 === 0 ? perSecond * 2 : perSecond),
    weightOf: (vm, at) => (vm === (hotVm + Math.floor(at / 4000)) % vms ? hotWeight : 1),
    isHeard: (_from, _to, _at, r) => r.next() >= loss,
    lengthMs: 28_000,
  };
}

describe('a limit that VMs divide by arrivals', () => {
  Object.entries(fleets).forEach(([title, changes]) => {
    it(`is kept and used by a fleet ${title}`, (t) => {
      SEEDS.forEach((seed) => {
        const { excess, use } = playLimitedFleet({ ...basis, seed, ...changes });
        t.true(excess <= 0, `seed ${seed}: ${excess} too many`);
        t.true(use >= MIN_USE, `seed ${seed}: used to ${use}`);
      });
    });
  });

  it('is kept and used by drawn fleets', (t) => {
    for (let seed = 1; seed <= DRAWN_FLEETS; seed += 1) {
      const { excess, use } = playLimitedFleet(drawFleet(seed));
      t.true(excess <= 0, `seed ${seed}: ${excess} too many`);
      t.true(use >= MIN_USE, `seed ${seed}: used to ${use}`);
    }
  });
});
