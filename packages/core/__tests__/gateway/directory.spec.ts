import {
  applyEntries,
  applyEntry,
  createDirectoryState,
  dropMissing,
  listServing,
  loseStore,
  regainStore,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { createEndpoint } from './fixtures.js';

function createKnown() {
  const state = createDirectoryState();
  applyEntries(state, [createEndpoint('e1'), createEndpoint('e2')], 10, 0);
  return state;
}

const idsOf = (state: ReturnType<typeof createKnown>) =>
  listServing(state, 'engines').map(({ id }) => id);

describe('directory', () => {
  describe('while the store answers', () => {
    it('drops a removed entry at once', (t) => {
      const state = createKnown();
      applyEntry(state, { id: 'e1', endpoint: null, isRemoved: true }, 5000);
      t.deepEqual(idsOf(state), ['e2']);
    });

    it('gives a draining endpoint no new requests', (t) => {
      const state = createKnown();
      const endpoint = createEndpoint('e1', { state: 'draining' });
      applyEntry(state, { id: 'e1', endpoint, isRemoved: false }, 5000);
      t.deepEqual(idsOf(state), ['e2']);
    });

    it('takes an entry that cannot be read for one that names no endpoint', (t) => {
      const state = createKnown();
      applyEntry(state, { id: 'e2', endpoint: null, isRemoved: false }, 5000);
      t.deepEqual(idsOf(state), ['e1']);
    });

    it('tells which endpoints have started again under their ids', (t) => {
      const state = createKnown();
      const endpoint = createEndpoint('e1', { startedAt: 5 });
      t.true(applyEntry(state, { id: 'e1', endpoint, isRemoved: false }, 5000));
      t.false(applyEntry(state, { id: 'e1', endpoint, isRemoved: false }, 5100));
      const later = [createEndpoint('e1', { startedAt: 6 }), createEndpoint('e2')];
      t.deepEqual(applyEntries(state, later, 11, 5200), ['e1']);
    });

    it('ignores a reading that is older than what it knows', (t) => {
      const state = createKnown();
      applyEntries(state, [], 9, 5000);
      t.deepEqual(idsOf(state), ['e1', 'e2']);
    });
  });

  describe('after an outage of the store', () => {
    it('keeps lapsed endpoints until they had time to return', (t) => {
      const state = createKnown();
      loseStore(state);
      regainStore(state, 20_000);
      applyEntries(state, [createEndpoint('e1')], 30, 20_000);
      t.deepEqual(idsOf(state), ['e1', 'e2']);
      t.deepEqual(dropMissing(state, 21_900), []);
      t.deepEqual(dropMissing(state, 22_000), ['e2']);
      t.deepEqual(idsOf(state), ['e1']);
    });

    it('keeps an endpoint whose entry returned', (t) => {
      const state = createKnown();
      loseStore(state);
      regainStore(state, 20_000);
      applyEntries(state, [], 30, 20_000);
      const endpoint = createEndpoint('e2');
      applyEntry(state, { id: 'e2', endpoint, isRemoved: false }, 21_000);
      t.deepEqual(dropMissing(state, 22_000), ['e1']);
      t.deepEqual(idsOf(state), ['e2']);
    });

    it('does not hold on to an endpoint that was draining', (t) => {
      const state = createKnown();
      const endpoint = createEndpoint('e1', { state: 'draining' });
      applyEntry(state, { id: 'e1', endpoint, isRemoved: false }, 5000);
      loseStore(state);
      applyEntry(state, { id: 'e1', endpoint: null, isRemoved: true }, 6000);
      t.false(state.endpoints.has('e1'));
    });

    it('believes a peer with a store in order that an endpoint is gone', (t) => {
      const state = createKnown();
      loseStore(state);
      applyEntries(state, [createEndpoint('e1')], 30, 6000, 'peer');
      t.deepEqual(idsOf(state), ['e1']);
    });
  });
});
