// A lifetime that leaves or has left must not be taken for ready when the store comes back with an older
// copy of its entry: what is known of it is kept for a minute after its entry is gone.
import {
  applyEntryChange,
  createDirectoryState,
  isTakingRequests,
  LAPSE_GRACE_MS,
  markStoreLost,
  markStoreRegained,
  recordDeparture,
  removeLapsed,
  removeStaleDepartures,
  replaceEntries,
  revokeDeparture,
  startEra,
  type DirectoryState,
  type RegisteredEndpoint,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { createEndpoint } from './fixtures.js';

const first = createEndpoint('e1', { startedAt: 1 });
const second = createEndpoint('e1', { startedAt: 2 });

const takesRequests = (state: DirectoryState) => isTakingRequests(state, 'e1');

function createDirectory(): DirectoryState {
  const state = createDirectoryState();
  replaceEntries(state, [first], { era: 1, revision: 10 }, 0);
  return state;
}

function drop(state: DirectoryState, now: number): void {
  applyEntryChange(state, { id: 'e1', endpoint: null, isRemoved: true }, now);
  removeStaleDepartures(state, now);
}

/** The store comes back with a copy that lists these endpoints. */
function comeBack(state: DirectoryState, now: number, ...listed: RegisteredEndpoint[]): void {
  removeStaleDepartures(state, now);
  startEra(state, 2, now);
  replaceEntries(state, listed, { era: 2, revision: 9 }, now);
}

describe('an endpoint whose entry comes back with an older copy of the store', () => {
  it('gets nothing when it said that it leaves', (t) => {
    const state = createDirectory();
    recordDeparture(state, first, 500);
    drop(state, 1000);
    comeBack(state, 4000, first);
    t.false(takesRequests(state));
    removeStaleDepartures(state, 100_000);
    t.false(takesRequests(state));
  });

  it('gets nothing when its entry said that it leaves', (t) => {
    const state = createDirectory();
    const endpoint = createEndpoint('e1', { startedAt: 1, state: 'draining' });
    applyEntryChange(state, { id: 'e1', endpoint, isRemoved: false }, 500);
    drop(state, 1000);
    comeBack(state, 4000, first);
    t.false(takesRequests(state));
  });

  it('gets nothing when its entry was dropped, until it is known to stay', (t) => {
    const state = createDirectory();
    drop(state, 1000);
    comeBack(state, 4000, first);
    t.false(takesRequests(state));
    t.true(revokeDeparture(state, first));
    t.true(takesRequests(state));
  });

  it('gets nothing when its entry had lapsed', (t) => {
    const state = createDirectory();
    markStoreLost(state);
    markStoreRegained(state, 1000);
    drop(state, 1000);
    removeLapsed(state, 1000 + LAPSE_GRACE_MS);
    comeBack(state, 4000, first);
    t.false(takesRequests(state));
  });

  it('gets nothing by the word of a peer that has read the copy', (t) => {
    const state = createDirectory();
    drop(state, 1000);
    replaceEntries(state, [first], { era: 2, revision: 9 }, 4000, 'peer');
    t.false(takesRequests(state));
    startEra(state, 2, 4500);
    replaceEntries(state, [first], { era: 2, revision: 9 }, 4500);
    t.false(takesRequests(state));
  });

  it('gets nothing when a later lifetime has been dropped as well', (t) => {
    const state = createDirectory();
    applyEntryChange(state, { id: 'e1', endpoint: second, isRemoved: false }, 500);
    drop(state, 1000);
    comeBack(state, 4000, first);
    t.false(takesRequests(state));
  });

  it('is not remembered for longer than a minute without an entry', (t) => {
    const state = createDirectory();
    recordDeparture(state, first, 500);
    drop(state, 1000);
    removeStaleDepartures(state, 61_000);
    t.is(state.departures.size, 1);
    removeStaleDepartures(state, 61_001);
    t.is(state.departures.size, 0);
  });
});

describe('an endpoint that has left', () => {
  it('gets requests at once in its next lifetime', (t) => {
    const state = createDirectory();
    recordDeparture(state, first, 500);
    drop(state, 1000);
    applyEntryChange(state, { id: 'e1', endpoint: second, isRemoved: false }, 1500);
    t.true(takesRequests(state));
  });

  it('gets requests at once in its next lifetime, which a copy of the store lists', (t) => {
    const state = createDirectory();
    recordDeparture(state, first, 500);
    drop(state, 1000);
    comeBack(state, 4000, second);
    t.true(takesRequests(state));
  });

  it('gets requests at once when its entry is written again', (t) => {
    const state = createDirectory();
    drop(state, 1000);
    applyEntryChange(state, { id: 'e1', endpoint: first, isRemoved: false }, 1500);
    t.true(takesRequests(state));
  });

  it('gets requests at once when a complete read in the same era lists its entry again', (t) => {
    const state = createDirectory();
    drop(state, 1000);
    replaceEntries(state, [first], { era: 1, revision: 20 }, 1500);
    t.true(takesRequests(state));
  });
});
