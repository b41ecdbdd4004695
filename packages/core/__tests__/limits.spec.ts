import { describe, it } from '@filbertlatch/core/testing';
import fc from 'fast-check';

import {
  adoptListRevision,
  createLimitState,
  grantLease,
  pauseGrants,
  LEASE_MS,
  limitSchema,
  computeAllowedRate,
  recordLease,
  settleTokens,
  takeTokens,
  takeDueLeaseRequests,
  type CoordinatorState,
} from '../src/index.js';

const SEED = 20_261_203;
const START = 1_000_000;
const VMS = ['vm-0', 'vm-1', 'vm-2', 'vm-3'];
const limit = limitSchema.parse({ id: 'l', class: 'bulletin', tokensPerSecond: 1000, floor: 0.2 });
/** Tokens per second of the limit that are leased: all but its floor. */
const leasable = 800;

/** A VM that holds a lease of the limit. */
class LeaseHoldingVm {
  readonly state = createLimitState();

  constructor(now: number) {
    takeTokens(this.state, [limit], VMS.length, 1, now);
  }

  rate(now: number): number {
    return computeAllowedRate(this.state.buckets.get(limit.id), limit, VMS.length, now);
  }
}

/** Tokens per second by which sums of rates may exceed the limit through rounding. */
const ROUNDING = 1e-6;

function sumRates(holders: readonly LeaseHoldingVm[], now: number): number {
  return holders.reduce((all, holder) => all + holder.rate(now), 0);
}

function requestLeases(
  coordinator: CoordinatorState,
  wanted: readonly number[],
  now: number,
): number[] {
  return VMS.map((vm, index) => grantLease(coordinator, limit, vm, wanted[index]!, now));
}

type Step =
  | { readonly kind: 'ask'; readonly vm: number; readonly wanted: number; readonly lost: boolean }
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'replace' }
  | { readonly kind: 'hold' };

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('ask' as const),
      vm: fc.nat(VMS.length - 1),
      wanted: fc.integer({ min: 1, max: 2000 }),
      lost: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.integer({ min: 1, max: 1500 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: 'replace' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'hold' as const }) },
);

describe('leases of a limit', () => {
  describe('under any sequence of requests, lost replies, waits and coordinator changes', () => {
    it('never allow the VMs more than the limit in total', (t) => {
      fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
          let now = START;
          let revision = 1;
          let { coordinator } = createLimitState();
          adoptListRevision(coordinator, revision, () => true, now - LEASE_MS);
          const holders = VMS.map(() => new LeaseHoldingVm(now));
          for (const action of steps) {
            if (action.kind === 'wait') now += action.ms;
            if (action.kind === 'hold') pauseGrants(coordinator, now);
            if (action.kind === 'replace') {
              revision += 1;
              coordinator = createLimitState().coordinator;
              adoptListRevision(coordinator, revision, () => true, now);
            }
            if (action.kind === 'ask') {
              const askedAt = now;
              const granted = grantLease(coordinator, limit, VMS[action.vm]!, action.wanted, now);
              const { state } = holders[action.vm]!;
              if (!action.lost) recordLease(state, limit.id, granted, askedAt + LEASE_MS);
            }
            if (sumRates(holders, now) > limit.tokensPerSecond + ROUNDING) return false;
          }
          return true;
        }),
        { seed: SEED, numRuns: 2000 },
      );
      t.pass();
    });
  });

  describe('with uneven demand', () => {
    it('are divided in proportion to demand within a few renewals', (t) => {
      const { coordinator } = createLimitState();
      adoptListRevision(coordinator, 1, () => true, START - LEASE_MS);
      const wanted = [2500, 500, 500, 500];
      let now = START;
      let granted: number[] = [];
      for (let round = 0; round < 8; round += 1) {
        granted = requestLeases(coordinator, wanted, now);
        now += 700;
      }
      const sum = granted.reduce((all, part) => all + part, 0);
      t.true(sum >= 0.95 * leasable, `only ${sum} of ${leasable}`);
      t.true(granted[0]! > 3 * granted[1]!);
    });
  });

  describe('with a new coordinator', () => {
    it('are granted only after the duration of a lease', (t) => {
      const { coordinator } = createLimitState();
      adoptListRevision(coordinator, 2, () => true, START);
      t.is(grantLease(coordinator, limit, 'vm-0', 100, START + LEASE_MS - 1), 0);
      t.is(grantLease(coordinator, limit, 'vm-0', 100, START + LEASE_MS), 100);
    });

    it('are granted at once if the new VM list keeps the coordinator', (t) => {
      const { coordinator } = createLimitState();
      adoptListRevision(coordinator, 1, () => true, START - LEASE_MS);
      grantLease(coordinator, limit, 'vm-0', 100, START);
      adoptListRevision(coordinator, 2, () => true, START + 100);
      t.is(grantLease(coordinator, limit, 'vm-0', 100, START + 200), 100);
    });
  });

  describe('without a reachable coordinator', () => {
    it('expire by the clock of the VM that holds them and leave it its floor', (t) => {
      const holder = new LeaseHoldingVm(START);
      recordLease(holder.state, limit.id, 300, START + LEASE_MS);
      t.is(holder.rate(START + LEASE_MS - 1), 350);
      t.is(holder.rate(START + LEASE_MS), 50);
    });
  });
});

describe('takeTokens', () => {
  it('admits no more than rate and burst and returns the time to wait', (t) => {
    const state = createLimitState();
    let admitted = 0;
    for (let now = START; now < START + 10_000; now += 10) {
      if (takeTokens(state, [limit], 1, 20, now) === 0) admitted += 20;
    }
    // The floor of the single VM is 200 tokens per second, with a burst of one second.
    t.true(admitted <= 200 * 10 + 200 + 20, `${admitted}`);
    t.true(admitted >= 200 * 10, `${admitted}`);
    const waitMs = takeTokens(state, [limit], 1, 20, START + 10_000);
    t.true(waitMs > 0 && waitMs <= 200);
  });

  it('charges tokens beyond the estimate and returns unused ones', (t) => {
    const state = createLimitState();
    takeTokens(state, [limit], 1, 100, START);
    settleTokens(state, [limit], 400);
    t.true(takeTokens(state, [limit], 1, 20, START) > 0);
    settleTokens(state, [limit], -400);
    t.is(takeTokens(state, [limit], 1, 20, START), 0);
  });

  it('keeps no state for unused limits', (t) => {
    const state = createLimitState();
    const limits = new Map([[limit.id, limit]]);
    takeTokens(state, [limit], VMS.length, 500, START);
    t.is(takeDueLeaseRequests(state, limits, VMS.length, START + 1000).length, 1);
    t.is(takeDueLeaseRequests(state, limits, VMS.length, START + 60_000).length, 0);
    t.is(state.buckets.size, 0);
  });
});
