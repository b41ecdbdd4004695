import {
  countLimitedEndpoints,
  createRequestLimitState,
  describeRequestLimit,
  getRequestLimit,
  recordLimitedSend,
  recordNamedLimit,
  recordUnlimitedAnswer,
  removeRequestLimits,
  resetRequestLimit,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';

const answerTo = (sentAt: number) => ({ endpointId: 'e1', sentAt });

describe('the limit that an endpoint names', () => {
  it('is known with its age, its source and what was sent', (t) => {
    const state = createRequestLimitState('vm-1');
    recordLimitedSend(state, 'e1', 900);
    t.true(recordNamedLimit(state, answerTo(900), 2.5, 1000));
    t.false(recordNamedLimit(state, answerTo(950), 2.5, 1100));
    recordLimitedSend(state, 'e1', 1500);
    const limit = { perSecond: 2.5, toldTo: 'vm-1', ageMs: 400, sends: 1 };
    t.deepEqual(describeRequestLimit(state, 'e1', 1500), limit);
    t.is(countLimitedEndpoints(state), 1);
  });

  it('falls with any answer, and rises only with one to a request sent since', (t) => {
    const state = createRequestLimitState('vm-1');
    recordNamedLimit(state, answerTo(0), 5, 1000);
    t.true(recordNamedLimit(state, answerTo(0), 2, 1010));
    t.false(recordNamedLimit(state, answerTo(1000), 5, 1020));
    t.is(getRequestLimit(state, 'e1'), 2);
    t.true(recordNamedLimit(state, answerTo(1010), 5, 1100));
    t.is(getRequestLimit(state, 'e1'), 5);
  });

  it('ends with an answer without it to a request sent since', (t) => {
    const state = createRequestLimitState('vm-1');
    t.false(recordUnlimitedAnswer(state, answerTo(900), 990));
    recordNamedLimit(state, answerTo(900), 5, 1000);
    t.false(recordUnlimitedAnswer(state, answerTo(950), 1010));
    t.is(getRequestLimit(state, 'e1'), 5);
    t.true(recordUnlimitedAnswer(state, answerTo(1000), 1100));
    t.is(getRequestLimit(state, 'e1'), null);
    t.is(countLimitedEndpoints(state), 0);
  });

  it('is forgotten when the endpoint restarts or leaves', (t) => {
    const state = createRequestLimitState('vm-1');
    recordNamedLimit(state, answerTo(0), 5, 1000);
    recordNamedLimit(state, { endpointId: 'e2', sentAt: 0 }, 5, 1000);
    resetRequestLimit(state, 'e1');
    removeRequestLimits(state, (id) => id !== 'e2');
    t.is(countLimitedEndpoints(state), 0);
  });
});
