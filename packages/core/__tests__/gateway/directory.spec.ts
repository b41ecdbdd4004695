import {
  replaceEntries,
  applyEntryChange,
  createDirectoryState,
  removeLapsed,
  listReadyEndpoints,
  markStoreLost,
  markStoreRegained,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { createEndpoint } from './fixtures.js';

const at = (revision: number, era: number | null = null) => ({ era, revision });

function createFilledDirectory() {
  const state = createDirectoryState();
  replaceEntries(state, [createEndpoint('e1'), createEndpoint('e2')], at(10), 0);
  return state;
}

const readyIds = (state: ReturnType<typeof createFilledDirectory>) =>
  listReadyEndpoints(state, 'engines').map(({ id }) => id);

describe('directory', () => {
  describe('while the store is reachable', () => {
    it('drops an endpoint at once when its entry is removed', (t) => {
      const state = createFilledDirectory();
      applyEntryChange(state, { id: 'e1', endpoint: null, isRemoved: true }, 5000);
      t.deepEqual(readyIds(state), ['e2']);
    });

    it('does not list a draining endpoint as ready', (t) => {
      const state = createFilledDirectory();
      const endpoint = createEndpoint('e1', { state: 'draining' });
      applyEntryChange(state, { id: 'e1', endpoint, isRemoved: false }, 5000);
      t.deepEqual(readyIds(state), ['e2']);
    });

    it('keeps an endpoint as it is known while its entry cannot be read', (t) => {
      const state = createFilledDirectory();
      applyEntryChange(state, { id: 'e2', endpoint: null, isRemoved: false }, 5000);
      t.deepEqual(readyIds(state), ['e1', 'e2']);
      replaceEntries(state, [createEndpoint('e1')], at(11), 5100, 'store', ['e2', 'e3']);
      t.deepEqual(readyIds(state), ['e1', 'e2']);
      const drained = createEndpoint('e2', { state: 'draining' });
      applyEntryChange(state, { id: 'e2', endpoint: drained, isRemoved: false }, 5200);
      t.deepEqual(readyIds(state), ['e1']);
    });

    it('drops an endpoint whose unreadable entry is removed or no longer listed', (t) => {
      const state = createFilledDirectory();
      ['e1', 'e2'].forEach((id) => {
        applyEntryChange(state, { id, endpoint: null, isRemoved: false }, 5000);
      });
      applyEntryChange(state, { id: 'e1', endpoint: null, isRemoved: true }, 5100);
      t.deepEqual(readyIds(state), ['e2']);
      replaceEntries(state, [], at(11), 5200);
      t.deepEqual(readyIds(state), []);
    });

    it('reports endpoints that restarted under the same id', (t) => {
      const state = createFilledDirectory();
      const endpoint = createEndpoint('e1', { startedAt: 5 });
      t.true(applyEntryChange(state, { id: 'e1', endpoint, isRemoved: false }, 5000));
      t.false(applyEntryChange(state, { id: 'e1', endpoint, isRemoved: false }, 5100));
      const later = [createEndpoint('e1', { startedAt: 6 }), createEndpoint('e2')];
      t.deepEqual(replaceEntries(state, later, at(11), 5200), ['e1']);
    });

    it('ignores a listing older than the revision it has reached', (t) => {
      const state = createFilledDirectory();
      replaceEntries(state, [], at(9), 5000);
      t.deepEqual(readyIds(state), ['e1', 'e2']);
    });
  });

  describe('during or after an outage of the store', () => {
    it('keeps endpoints with lapsed entries until the store has been back for two seconds', (t) => {
      const state = createFilledDirectory();
      markStoreLost(state);
      markStoreRegained(state, 20_000);
      replaceEntries(state, [createEndpoint('e1')], at(30), 20_000);
      t.deepEqual(readyIds(state), ['e1', 'e2']);
      t.deepEqual(removeLapsed(state, 21_900), []);
      t.deepEqual(removeLapsed(state, 22_000), ['e2']);
      t.deepEqual(readyIds(state), ['e1']);
    });

    it('keeps an endpoint whose entry returns in time', (t) => {
      const state = createFilledDirectory();
      markStoreLost(state);
      markStoreRegained(state, 20_000);
      replaceEntries(state, [], at(30), 20_000);
      const endpoint = createEndpoint('e2');
      applyEntryChange(state, { id: 'e2', endpoint, isRemoved: false }, 21_000);
      t.deepEqual(removeLapsed(state, 22_000), ['e1']);
      t.deepEqual(readyIds(state), ['e2']);
    });

    it('drops a draining endpoint at once when its entry lapses', (t) => {
      const state = createFilledDirectory();
      const endpoint = createEndpoint('e1', { state: 'draining' });
      applyEntryChange(state, { id: 'e1', endpoint, isRemoved: false }, 5000);
      markStoreLost(state);
      applyEntryChange(state, { id: 'e1', endpoint: null, isRemoved: true }, 6000);
      t.false(state.endpoints.has('e1'));
    });

    it('drops an endpoint that a peer with a working store does not list', (t) => {
      const state = createFilledDirectory();
      markStoreLost(state);
      replaceEntries(state, [createEndpoint('e1')], at(30), 6000, 'peer');
      t.deepEqual(readyIds(state), ['e1']);
    });
  });
});
