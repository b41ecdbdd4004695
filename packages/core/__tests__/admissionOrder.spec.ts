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

function createWorld(): Core {
  const self = {
    id: 'vm-0',
    peerUrl: 'http://127.0.0.1:1',
    zone: 'a',
    region: 'r',
    state: 'live',
  } as const;
  const core = createCore(self, createRandom(1), START);
  const endpoints = [0, 1].map((at) => ({
    id: `e${at}`,
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

/** An attempt that the core has sent out. */
interface Sent {
  readonly attemptId: string;
  readonly endpointId: string;
  readonly classId: string;
}

function describeSent({ attempt, request }: Extract<Action, { kind: 'dispatch' }>): Sent {
  const { id: attemptId, endpointId } = attempt;
  return { attemptId, endpointId, classId: request.classId };
}

/** Drives one core with a fake pool: each message may end attempts in any order. */
class World {
  readonly core = createWorld();

  now = START;

  sequence = 0;

  readonly open: Sent[] = [];

  readonly log: Action[] = [];

  post(message: Message): readonly Action[] {
    const actions = decide(this.core, message, this.now);
    for (const action of actions) {
      this.log.push(action);
      if (action.kind === 'dispatch') this.open.push(describeSent(action));
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

/** Says whether one round sheds a request while it sends one of a lower tier to the pool. */
function shedsForLower(actions: readonly Action[], classOf: ReadonlyMap<string, string>): boolean {
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

function takeStep(world: World, action: number | string): readonly Action[] {
  if (typeof action === 'number') return world.end(action, false);
  if (action === 'fail') return world.end(0, true);
  if (action !== 'tick') return world.arrive(action);
  world.now += STEP_MS;
  return world.post({ kind: 'tick' });
}

describe('the order of one VM', () => {
  it('keeps its accounts of slots, and sheds nothing for a lower tier', (t) => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const world = new World();
        const classOf = new Map<string, string>();
        for (const action of steps) {
          if (classes.some((row) => row.id === action)) {
            classOf.set(`r${world.sequence + 1}`, String(action));
          }
          const actions = takeStep(world, action);
          if (shedsForLower(actions, classOf)) return false;
          for (const [id, load] of world.core.placement.loads) {
            const open = world.open.filter((sent) => sent.endpointId === id).length;
            if (load.inFlight !== open || load.unanswered < 0) return false;
            if (load.unanswered > load.inFlight || load.expectedTokens < 0) return false;
            if (estimateLoad(load, world.now) < 0) return false;
          }
        }
        return true;
      }),
      { seed: SEED, numRuns: 400 },
    );
    t.pass();
  });

  it('serves every class at least its share while all have demand', (t) => {
    const world = new World();
    const served = new Map(classes.map((row) => [row.id, 0]));
    for (let round = 0; round < 3000; round += 1) {
      classes.forEach((row) => world.arrive(row.id));
      const { classId } = world.open[0]!;
      served.set(classId, served.get(classId)! + 1);
      world.end(0, false);
      world.now += 5;
      world.post({ kind: 'tick' });
    }
    const all = [...served.values()].reduce((sum, count) => sum + count, 0);
    classes.forEach((row) => {
      const part = served.get(row.id)! / all;
      t.true(part >= row.share, `${row.id} got ${part} of at least ${row.share}`);
    });
  });

  it('gives each request exactly one final answer', (t) => {
    const world = new World();
    for (let round = 0; round < 500; round += 1) {
      world.arrive(classes[round % 3]!.id);
      if (round % 2 === 0) world.end(round, round % 10 === 0);
      world.now += 7;
      world.post({ kind: 'tick' });
    }
    for (let round = 0; round < 2000 && world.core.requests.size > 0; round += 1) {
      world.end(0, false);
      world.now += STEP_MS;
      world.post({ kind: 'tick' });
    }
    const ends = world.log.flatMap((a) => (a.kind === 'request-ended' ? [a.requestId] : []));
    t.is(ends.length, 500);
    t.is(new Set(ends).size, 500);
  });
});
