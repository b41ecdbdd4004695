import fc from 'fast-check';

import {
  replaceEntries,
  applyEntryChange,
  createDirectoryState,
  removeLapsed,
  listReadyEndpoints,
  markStoreLost,
  markStoreRegained,
  advanceRevision,
  type DirectoryState,
  type RegisteredEndpoint,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { createEndpoint } from './fixtures.js';

const SEED = 20_261_204;
const RUNS = 500;
const LAPSE_GRACE_MS = 2000;
const IDS = ['e1', 'e2', 'e3'];

type Entry = 'ready' | 'draining' | null;

/** The store's entries at each revision; revision 0 has none. */
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

function createHistory(writes: readonly { id: string; entry: Entry }[]): History {
  const history = [new Map<string, Entry>()];
  writes.forEach(({ id, entry }) => {
    history.push(new Map(history.at(-1)).set(id, entry));
  });
  return history;
}

const positionAt = (revision: number) => ({ era: null, revision });

function toEndpoints(entries: ReadonlyMap<string, Entry>): RegisteredEndpoint[] {
  return [...entries].flatMap(([id, state]) =>
    state === null ? [] : [createEndpoint(id, { state })],
  );
}

/** Applies the steps of one VM to its directory, with a simulated store and peers. */
class SimulatedVm {
  readonly state: DirectoryState = createDirectoryState();

  now = 10_000;

  isLost = false;

  readonly #history: History;

  constructor(history: History) {
    this.#history = history;
  }

  apply(next: Step): void {
    const { state, now } = this;
    const last = this.#history.length - 1;
    if (next.kind === 'wait') {
      this.now += next.ms;
      removeLapsed(state, this.now);
    } else if (next.kind === 'lose') {
      markStoreLost(state);
      this.isLost = true;
    } else if (next.kind === 'regain') {
      markStoreRegained(state, now);
      this.isLost = false;
    } else if (next.kind === 'peer') {
      const at = Math.min(next.at, last);
      if (!this.isLost || at <= state.revision) return;
      replaceEntries(state, toEndpoints(this.#history[at]!), positionAt(at), now, 'peer');
    } else if (!this.isLost) {
      this.#readStore(next, Math.min(next.kind === 'watch' ? next.to : next.at, last));
    }
  }

  #readStore(next: Step, revision: number): void {
    const { state, now } = this;
    if (next.kind === 'read') {
      replaceEntries(state, toEndpoints(this.#history[revision]!), positionAt(revision), now);
      return;
    }
    // A watch continues after the last complete listing.
    if (state.revision < 0) return;
    for (let at = state.revision + 1; at <= revision; at += 1) {
      this.#history[at]!.forEach((entry, id) => {
        if (this.#history[at - 1]!.get(id) === entry) return;
        const endpoint = entry === null ? null : createEndpoint(id, { state: entry });
        applyEntryChange(state, { id, endpoint, isRemoved: entry === null }, now);
      });
      advanceRevision(state, positionAt(at));
    }
  }
}

const readyIds = (state: DirectoryState) =>
  listReadyEndpoints(state, 'engines')
    .map(({ id }) => id)
    .sort();

describe('directory, under any sequence of store events, peer listings and outages', () => {
  it('never returns to an earlier revision', (t) => {
    fc.assert(
      fc.property(fc.array(write, { maxLength: 20 }), fc.array(step), (writes, steps) => {
        const vm = new SimulatedVm(createHistory(writes));
        steps.forEach((next) => {
          const before = vm.state.revision;
          vm.apply(next);
          if (vm.state.revision < before) throw new Error('the revision decreased');
        });
      }),
      { seed: SEED, numRuns: RUNS },
    );
    t.pass();
  });

  it('lists what the store holds two seconds after the store has returned', (t) => {
    fc.assert(
      fc.property(fc.array(write, { maxLength: 20 }), fc.array(step), (writes, steps) => {
        const history = createHistory(writes);
        const vm = new SimulatedVm(history);
        steps.forEach((next) => vm.apply(next));
        vm.apply({ kind: 'regain' });
        vm.apply({ kind: 'read', at: history.length - 1 });
        vm.apply({ kind: 'wait', ms: LAPSE_GRACE_MS });
        const held = [...history.at(-1)!].filter(([, entry]) => entry === 'ready');
        t.deepEqual(readyIds(vm.state), held.map(([id]) => id).sort());
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('keeps an endpoint with a lapsed entry until the store has been back for two seconds without a break', (t) => {
    fc.assert(
      fc.property(
        fc.array(fc.record({ awayMs: fc.nat(3000), backMs: fc.integer({ min: 1, max: 3000 }) }), {
          minLength: 1,
        }),
        (outages) => {
          const history = createHistory([
            { id: 'e1', entry: 'ready' },
            { id: 'e1', entry: null },
          ]);
          const vm = new SimulatedVm(history);
          vm.apply({ kind: 'read', at: 1 });
          let wasBack = false;
          outages.forEach(({ awayMs, backMs }) => {
            vm.apply({ kind: 'lose' });
            vm.apply({ kind: 'wait', ms: awayMs });
            vm.apply({ kind: 'regain' });
            vm.apply({ kind: 'watch', to: 2 });
            vm.apply({ kind: 'wait', ms: backMs });
            wasBack ||= backMs >= LAPSE_GRACE_MS;
            t.deepEqual(readyIds(vm.state), wasBack ? [] : ['e1']);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
