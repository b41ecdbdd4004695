import { describe, it } from '@filbertlatch/core/testing';
import fc from 'fast-check';

import {
  createCore,
  createRandom,
  createTableView,
  decide,
  estimateLoad,
  tableSchema,
  tierRank,
  type Action,
  type Core,
  type Message,
  type RefusalCode,
} from '../src/index.js';
import { createClass, createRequest } from './fixtures.js';

const SEED = 20_261_204;
const START = 1_000_000;
const SLOTS = 4;
const STEP_MS = 20;

const classes = [
  createClass('headline', 'critical', { share: 0.3 }),
  createClass('bulletin', 'standard', { share: 0.3 }),
  createClass('summary', 'background', { share: 0.1 }),
];

function createVmCore(): Core {
  const self = {
    id: 'vm-0',
    peerUrl: 'http://127.0.0.1:1',
    zone: 'a',
    region: 'r',
    state: 'live',
  } as const;
  const core = createCore(self, createRandom(1), START);
  const endpoints = [0, 1].map((index) => ({
    id: `e${index}`,
    kind: 'engine',
    url: 'http://127.0.0.1:1',
    zone: 'a',
    region: 'r',
    slots: SLOTS,
    models: ['small'],
    fencing: 'checked',
  }));
  const table = { revision: 1, classes, accounts: [], models: [{ id: 'small' }], limits: [] };
  core.table.view = createTableView(tableSchema.parse({ ...table, endpoints }));
  return core;
}

/** An attempt that the core has dispatched. */
interface SentAttempt {
  readonly attemptId: string;
  readonly endpointId: string;
  readonly classId: string;
}

function toSentAttempt({ attempt, request }: Extract<Action, { kind: 'dispatch' }>): SentAttempt {
  const { id: attemptId, endpointId } = attempt;
  return { attemptId, endpointId, classId: request.classId };
}

/** One VM's core with a simulated pool, whose attempts can end in any order. */
class SimulatedVm {
  readonly core = createVmCore();

  now = START;

  sequence = 0;

  readonly open: SentAttempt[] = [];

  readonly log: Action[] = [];

  post(message: Message): readonly Action[] {
    const actions = decide(this.core, message, this.now);
    for (const action of actions) {
      this.log.push(action);
      if (action.kind === 'dispatch') this.open.push(toSentAttempt(action));
      if (action.kind === 'cancel-attempt') this.cancel(action.attemptId);
    }
    return actions;
  }

  arrive(classId: string): readonly Action[] {
    this.sequence += 1;
    const request = createRequest(`r${this.sequence}`, classId, {
      arrivedAt: this.now,
      deadline: this.now + 5000,
    });
    return this.post({ kind: 'request-arrived', request });
  }

  end(index: number, fails: boolean): readonly Action[] {
    const [sent] = this.open.splice(index % Math.max(1, this.open.length), 1);
    if (sent === undefined) return [];
    const { attemptId } = sent;
    this.post({ kind: 'tokens-arrived', attemptId, count: 5 });
    if (!fails) {
      return this.post({
        kind: 'attempt-ended',
        attemptId,
        end: { kind: 'complete', outputTokens: 5 },
      });
    }
    const failure = { kind: 'failed', cause: 'reset', verdict: 'ran', delivered: 5 } as const;
    const end = { ...failure, status: null, retryAfterMs: null };
    return this.post({ kind: 'attempt-ended', attemptId, end });
  }

  cancel(attemptId: string): void {
    const index = this.open.findIndex((sent) => sent.attemptId === attemptId);
    if (index < 0) return;
    this.open.splice(index, 1);
    const end = { kind: 'cancelled', verdict: 'may-have-run' } as const;
    this.post({ kind: 'attempt-ended', attemptId, end });
  }
}

function rankOf(classId: string): number {
  return tierRank(classes.find((row) => row.id === classId)!.tier);
}

const shedCodes: readonly RefusalCode[] = ['overloaded', 'queue_full', 'deadline_unreachable'];

/** Returns whether the actions shed a request and dispatch one of a lower tier. */
function shedsWhileSendingLower(
  actions: readonly Action[],
  classOf: ReadonlyMap<string, string>,
): boolean {
  const shed = actions.flatMap((a) =>
    a.kind === 'refuse' && shedCodes.includes(a.refusal.code)
      ? [rankOf(classOf.get(a.requestId)!)]
      : [],
  );
  const sent = actions.flatMap((a) => (a.kind === 'dispatch' ? [rankOf(a.request.classId)] : []));
  return shed.some((rank) => sent.some((other) => other > rank));
}

const step = fc.oneof(
  { weight: 6, arbitrary: fc.constantFrom('headline', 'bulletin', 'summary') },
  { weight: 4, arbitrary: fc.nat(20) },
  { weight: 1, arbitrary: fc.constant('fail' as const) },
  { weight: 4, arbitrary: fc.constant('tick' as const) },
);

function takeStep(vm: SimulatedVm, action: number | string): readonly Action[] {
  if (typeof action === 'number') return vm.end(action, false);
  if (action === 'fail') return vm.end(0, true);
  if (action !== 'tick') return vm.arrive(action);
  vm.now += STEP_MS;
  return vm.post({ kind: 'tick' });
}

describe('admission on one VM', () => {
  it('keeps load counts equal to the open attempts and sheds no request for a lower tier', (t) => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const vm = new SimulatedVm();
        const classOf = new Map<string, string>();
        for (const action of steps) {
          if (classes.some((row) => row.id === action)) {
            classOf.set(`r${vm.sequence + 1}`, String(action));
          }
          const actions = takeStep(vm, action);
          if (shedsWhileSendingLower(actions, classOf)) return false;
          for (const [id, load] of vm.core.placement.loads) {
            const open = vm.open.filter((sent) => sent.endpointId === id).length;
            if (load.inFlight !== open || load.awaitingFirstToken < 0) return false;
            if (load.awaitingFirstToken > load.inFlight || load.expectedTokens < 0) return false;
            if (estimateLoad(load, vm.now) < 0) return false;
          }
        }
        return true;
      }),
      { seed: SEED, numRuns: 400 },
    );
    t.pass();
  });

  it('serves every class at least its minimum share while all classes have demand', (t) => {
    const vm = new SimulatedVm();
    const served = new Map(classes.map((row) => [row.id, 0]));
    for (let round = 0; round < 3000; round += 1) {
      classes.forEach((row) => vm.arrive(row.id));
      const { classId } = vm.open[0]!;
      served.set(classId, served.get(classId)! + 1);
      vm.end(0, false);
      vm.now += 5;
      vm.post({ kind: 'tick' });
    }
    const all = [...served.values()].reduce((sum, count) => sum + count, 0);
    classes.forEach((row) => {
      const part = served.get(row.id)! / all;
      t.true(part >= row.share, `${row.id} got ${part} of at least ${row.share}`);
    });
  });

  it('ends each request exactly once', (t) => {
    const vm = new SimulatedVm();
    for (let round = 0; round < 500; round += 1) {
      vm.arrive(classes[round % 3]!.id);
      if (round % 2 === 0) vm.end(round, round % 10 === 0);
      vm.now += 7;
      vm.post({ kind: 'tick' });
    }
    for (let round = 0; round < 2000 && vm.core.requests.size > 0; round += 1) {
      vm.end(0, false);
      vm.now += STEP_MS;
      vm.post({ kind: 'tick' });
    }
    const ends = vm.log.flatMap((a) => (a.kind === 'request-ended' ? [a.requestId] : []));
    t.is(ends.length, 500);
    t.is(new Set(ends).size, 500);
  });
});
