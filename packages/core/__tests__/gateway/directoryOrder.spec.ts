import fc from 'fast-check';

import {
  applyEntries,
  applyEntry,
  createDirectoryState,
  dropMissing,
  listServing,
  loseStore,
  regainStore,
  reachRevision,
  type DirectoryState,
  type RegisteredEndpoint,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { createEndpoint } from './fixtures.js';

const SEED = 20_261_204;
const RUNS = 500;
const RETURN_MS = 2000;
const IDS = ['e1', 'e2', 'e3'];

type Entry = 'ready' | 'draining' | null;

/** What the store held at each revision; revision 0 holds nothing. */
type History = readonly ReadonlyMap<string, Entry>[];

const write = fc.record({
  id: fc.constantFrom(...IDS),
  entry: fc.constantFrom<Entry>('ready', 'draining', null),
});

const step = fc.oneof(
  fc.record({ kind: fc.constant('watch' as const), to: fc.nat(20) }),
  fc.record({ kind: fc.constant('read' as const), at: fc.nat(20) }),
  fc.record({ kind: fc.constant('peer' as const), at: fc.nat(20) }),
  fc.record({ kind: fc.constant('lose' as const) }),
  fc.record({ kind: fc.constant('regain' as const) }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 2500 }) }),
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

function recordHistory(writes: readonly { id: string; entry: Entry }[]): History {
  const history = [new Map<string, Entry>()];
  writes.forEach(({ id, entry }) => {
    history.push(new Map(history.at(-1)).set(id, entry));
  });
  return history;
}

function toEndpoints(entries: ReadonlyMap<string, Entry>): RegisteredEndpoint[] {
  return [...entries].flatMap(([id, state]) =>
    state === null ? [] : [createEndpoint(id, { state })],
  );
}

/** Plays the steps of one VM against a store and its peers. */
class Vm {
  readonly state: DirectoryState = createDirectoryState();

  now = 10_000;

  isLost = false;

  readonly #history: History;

  constructor(history: History) {
    this.#history = history;
  }

  play(next: Step): void {
    const { state, now } = this;
    const last = this.#history.length - 1;
    if (next.kind === 'wait') {
      this.now += next.ms;
      dropMissing(state, this.now);
    } else if (next.kind === 'lose') {
      loseStore(state);
      this.isLost = true;
    } else if (next.kind === 'regain') {
      regainStore(state, now);
      this.isLost = false;
    } else if (next.kind === 'peer') {
      const at = Math.min(next.at, last);
      if (!this.isLost || at <= state.revision) return;
      applyEntries(state, toEndpoints(this.#history[at]!), at, now, 'peer');
    } else if (!this.isLost) {
      this.#readStore(next, Math.min(next.kind === 'watch' ? next.to : next.at, last));
    }
  }

  #readStore(next: Step, revision: number): void {
    const { state, now } = this;
    if (next.kind === 'read') {
      applyEntries(state, toEndpoints(this.#history[revision]!), revision, now);
      return;
    }
    // A watch goes on behind what the VM has read whole.
    if (state.revision < 0) return;
    for (let at = state.revision + 1; at <= revision; at += 1) {
      this.#history[at]!.forEach((entry, id) => {
        if (this.#history[at - 1]!.get(id) === entry) return;
        const endpoint = entry === null ? null : createEndpoint(id, { state: entry });
        applyEntry(state, { id, endpoint, isRemoved: entry === null }, now);
      });
      reachRevision(state, at);
    }
  }
}

const servingIds = (state: DirectoryState) =>
  listServing(state, 'engines')
    .map(({ id }) => id)
    .sort();

describe('directory, in any order of store, peers and outages', () => {
  it('never falls behind the revision that it knows', (t) => {
    fc.assert(
      fc.property(fc.array(write, { maxLength: 20 }), fc.array(step), (writes, steps) => {
        const vm = new Vm(recordHistory(writes));
        steps.forEach((next) => {
          const before = vm.state.revision;
          vm.play(next);
          if (vm.state.revision < before) throw new Error('the revision fell');
        });
      }),
      { seed: SEED, numRuns: RUNS },
    );
    t.pass();
  });

  it('serves what the store holds once lapsed entries had time to return', (t) => {
    fc.assert(
      fc.property(fc.array(write, { maxLength: 20 }), fc.array(step), (writes, steps) => {
        const history = recordHistory(writes);
        const vm = new Vm(history);
        steps.forEach((next) => vm.play(next));
        vm.play({ kind: 'regain' });
        vm.play({ kind: 'read', at: history.length - 1 });
        vm.play({ kind: 'wait', ms: RETURN_MS });
        const held = [...history.at(-1)!].filter(([, entry]) => entry === 'ready');
        t.deepEqual(servingIds(vm.state), held.map(([id]) => id).sort());
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('keeps a lapsed endpoint until the store was back for two seconds on end', (t) => {
    fc.assert(
      fc.property(
        fc.array(fc.record({ awayMs: fc.nat(3000), backMs: fc.integer({ min: 1, max: 3000 }) }), {
          minLength: 1,
        }),
        (outages) => {
          const history = recordHistory([
            { id: 'e1', entry: 'ready' },
            { id: 'e1', entry: null },
          ]);
          const vm = new Vm(history);
          vm.play({ kind: 'read', at: 1 });
          let wasBack = false;
          outages.forEach(({ awayMs, backMs }) => {
            vm.play({ kind: 'lose' });
            vm.play({ kind: 'wait', ms: awayMs });
            vm.play({ kind: 'regain' });
            vm.play({ kind: 'watch', to: 2 });
            vm.play({ kind: 'wait', ms: backMs });
            wasBack ||= backMs >= RETURN_MS;
            t.deepEqual(servingIds(vm.state), wasBack ? [] : ['e1']);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
