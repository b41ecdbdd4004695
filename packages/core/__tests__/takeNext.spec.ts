import { describe, it } from '@filbertlatch/core/testing';

import { createAdmissionState, enqueueRequest, takeNext, takeOverflow } from '../src/index.js';
import { createClass, createRequest, createSelectionContext } from './fixtures.js';

const POOL = 'model:small';
const COST = 10;

describe('takeNext', () => {
  const headline = createClass('headline', 'critical', { share: 0.1 });
  const bulletin = createClass('bulletin', 'standard', { weight: 3, share: 0 });
  const summary = createClass('summary', 'standard', { weight: 1, share: 0 });
  const digest = createClass('digest', 'background', { share: 0.2 });
  const selection = createSelectionContext([headline, bulletin, summary, digest]);

  describe('with two tiers waiting', () => {
    it('serves the higher tier first, whichever request arrived first', (t) => {
      const state = createAdmissionState();
      enqueueRequest(state, createRequest('r1', 'bulletin'), bulletin, COST, 1, 0);
      enqueueRequest(state, createRequest('r2', 'headline'), headline, COST, 1, 0);
      t.is(takeNext(state, POOL, selection)?.id, 'r2');
      t.is(takeNext(state, POOL, selection)?.id, 'r1');
      t.is(takeNext(state, POOL, selection), undefined);
    });

    it('serves a lower tier its minimum share with headroom and no more', (t) => {
      const state = createAdmissionState();
      for (let i = 0; i < 100; i += 1) {
        enqueueRequest(state, createRequest(`h${i}`, 'headline'), headline, COST, 1, 0);
        enqueueRequest(state, createRequest(`d${i}`, 'digest'), digest, COST, 1, 0);
      }
      const taken = Array.from({ length: 50 }, () => takeNext(state, POOL, selection));
      const digests = taken.filter((request) => request?.classId === 'digest').length;
      t.is(digests, 16);
    });

    it('defers the minimum share while a request of a higher tier would miss its target', (t) => {
      const state = createAdmissionState();
      const urgent = createSelectionContext([headline, digest], {
        isUrgent: (lane) => lane.classId === 'headline',
      });
      for (let i = 0; i < 20; i += 1) {
        enqueueRequest(state, createRequest(`h${i}`, 'headline'), headline, COST, 1, 0);
        enqueueRequest(state, createRequest(`d${i}`, 'digest'), digest, COST, 1, 0);
      }
      const taken = Array.from({ length: 20 }, () => takeNext(state, POOL, urgent));
      t.true(taken.every((request) => request?.classId === 'headline'));
    });

    it('skips a tier without capacity', (t) => {
      const state = createAdmissionState();
      const narrow = createSelectionContext([headline, bulletin], {
        hasCapacity: (rank) => rank === 0,
      });
      enqueueRequest(state, createRequest('b1', 'bulletin'), bulletin, COST, 1, 0);
      t.is(takeNext(state, POOL, narrow), undefined);
      t.is(takeNext(state, POOL, selection)?.id, 'b1');
    });
  });

  describe('within one tier', () => {
    it('serves classes in proportion to their weights', (t) => {
      const state = createAdmissionState();
      for (let i = 0; i < 10; i += 1) {
        enqueueRequest(state, createRequest(`b${i}`, 'bulletin'), bulletin, COST, 1, 0);
        enqueueRequest(state, createRequest(`s${i}`, 'summary'), summary, COST, 1, 0);
      }
      const taken = Array.from({ length: 8 }, () => takeNext(state, POOL, selection));
      t.is(taken.filter((request) => request?.classId === 'bulletin').length, 6);
    });
  });

  describe('within one class', () => {
    it('serves accounts in proportion to their weights, whichever sends more requests', (t) => {
      const state = createAdmissionState();
      for (let i = 0; i < 90; i += 1) {
        const fields = { accountId: i % 9 === 0 ? 'small' : 'large' };
        const weight = fields.accountId === 'large' ? 2 : 1;
        enqueueRequest(
          state,
          createRequest(`b${i}`, 'bulletin', fields),
          bulletin,
          COST,
          weight,
          0,
        );
      }
      const taken = Array.from({ length: 15 }, () => takeNext(state, POOL, selection));
      t.is(taken.filter((request) => request?.accountId === 'small').length, 5);
    });

    it('serves a request that can meet its target before one that cannot', (t) => {
      const state = createAdmissionState();
      const later = createSelectionContext([bulletin], { now: 1000 });
      const fresh = createRequest('new', 'bulletin', { arrivedAt: 900 });
      enqueueRequest(state, createRequest('old', 'bulletin'), bulletin, COST, 1, 0);
      enqueueRequest(state, fresh, bulletin, COST, 1, 900);
      t.is(takeNext(state, POOL, later)?.id, 'new');
      t.is(takeNext(state, POOL, later)?.id, 'old');
    });
  });
});

describe('takeOverflow', () => {
  const bulletin = createClass('bulletin', 'standard');

  it('takes the newest request of the account with the most waiting cost', (t) => {
    const state = createAdmissionState();
    const large = { accountId: 'large' };
    enqueueRequest(state, createRequest('l1', 'bulletin', large), bulletin, COST, 1, 0);
    enqueueRequest(state, createRequest('l2', 'bulletin', large), bulletin, COST, 1, 0);
    enqueueRequest(state, createRequest('s1', 'bulletin'), bulletin, COST, 1, 0);
    const taken = takeOverflow(state, POOL, 'bulletin', 2, Infinity);
    t.deepEqual(
      taken.map((request) => request.id),
      ['l2'],
    );
  });

  it('keeps the requests within the bound on the cost ahead of the last one', (t) => {
    const state = createAdmissionState();
    for (let i = 0; i < 10; i += 1) {
      enqueueRequest(state, createRequest(`b${i}`, 'bulletin'), bulletin, COST, 1, 0);
    }
    t.is(takeOverflow(state, POOL, 'bulletin', Infinity, 4 * COST).length, 5);
    t.is(takeOverflow(state, POOL, 'bulletin', Infinity, 4 * COST).length, 0);
  });
});
