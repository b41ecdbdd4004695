import { createPauseState, pauseLeftMs, recordPause, removeEndedPauses } from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { createEndpoint } from './fixtures.js';

const endpoint = createEndpoint('e1', { startedAt: 5 });

describe('a pause that an endpoint asks for', () => {
  it('ends at the latest end of several', (t) => {
    const state = createPauseState();
    recordPause(state, endpoint, 3000, 1000);
    recordPause(state, endpoint, 500, 1100);
    t.is(pauseLeftMs(state, endpoint, 1200), 2800);
    t.is(pauseLeftMs(state, endpoint, 4000), 0);
  });

  it('is bounded, whatever the endpoint asks for', (t) => {
    const state = createPauseState();
    recordPause(state, endpoint, 1e12, 0);
    t.is(pauseLeftMs(state, endpoint, 60_000), 0);
    removeEndedPauses(state, 60_000);
    t.is(state.pauses.size, 0);
  });

  it('does not hold for another lifetime under the same id', (t) => {
    const state = createPauseState();
    recordPause(state, endpoint, 3000, 0);
    t.is(pauseLeftMs(state, { ...endpoint, startedAt: 6 }, 100), 0);
    t.is(pauseLeftMs(state, createEndpoint('e2'), 100), 0);
  });
});
