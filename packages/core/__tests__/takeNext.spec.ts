import { describe, it } from '@filbertlatch/core/testing';

import {
  classSchema,
  createAdmissionState,
  enqueueRequest,
  takeNext,
  type Class,
  type Request,
  type Tier,
} from '../src/index.js';

const MOST = 10;

function createClass(id: string, tier: Tier, weight = 1): Class {
  const target = { firstTokenMs: 300, betweenTokensMs: 30, wholeMs: 5000 };
  return classSchema.parse({ id, tier, target, share: 0.1, weight });
}

function createRequest(id: string, classId: string): Request {
  return {
    id,
    classId,
    accountId: 'station-1',
    pool: 'model:small',
    arrivedAt: 0,
    deadline: 5000,
    promptTokens: 10,
    maxOutputTokens: 100,
    prefixes: [],
    repeatable: true,
    key: null,
    fingerprint: id,
  };
}

describe('takeNext', () => {
  const classes = new Map(
    [
      createClass('headline', 'critical'),
      createClass('bulletin', 'standard', 3),
      createClass('summary', 'standard', 1),
    ].map((row) => [row.id, row]),
  );

  describe('with two tiers waiting', () => {
    it('serves the higher tier first, whatever came first', (t) => {
      const state = createAdmissionState();
      enqueueRequest(state, createRequest('r1', 'bulletin'), MOST);
      enqueueRequest(state, createRequest('r2', 'headline'), MOST);
      t.is(takeNext(state, 'model:small', classes, () => 1)?.id, 'r2');
      t.is(takeNext(state, 'model:small', classes, () => 1)?.id, 'r1');
      t.is(
        takeNext(state, 'model:small', classes, () => 1),
        undefined,
      );
    });
  });

  describe('within one tier', () => {
    it('shares by weight', (t) => {
      const state = createAdmissionState();
      for (let i = 0; i < MOST; i += 1) {
        enqueueRequest(state, createRequest(`b${i}`, 'bulletin'), MOST);
        enqueueRequest(state, createRequest(`s${i}`, 'summary'), MOST);
      }
      const taken = Array.from({ length: 8 }, () =>
        takeNext(state, 'model:small', classes, () => 1),
      );
      t.is(taken.filter((request) => request?.classId === 'bulletin').length, 6);
    });
  });

  describe('with a full lane', () => {
    it('refuses the request and keeps those that wait', (t) => {
      const state = createAdmissionState();
      t.true(enqueueRequest(state, createRequest('r1', 'summary'), 1));
      t.false(enqueueRequest(state, createRequest('r2', 'summary'), 1));
      t.is(takeNext(state, 'model:small', classes, () => 1)?.id, 'r1');
    });
  });
});
