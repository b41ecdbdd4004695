import { describe, it } from '@filbertlatch/core/testing';

import {
  classifyRequest,
  countCrashes,
  createSuspectState,
  hasLostAttempts,
  recordCrash,
  recordEndpointAlive,
  recordEndpointEnd,
  recordEndpointHeard,
  recordLostAttempt,
  removeExpiredCrashes,
  removeExpiredTraces,
  type SuspectState,
} from '../src/index.js';

const FINGERPRINT = 'f';

function lose(state: SuspectState, startedAt: number, at: number, isPresumedCrash = false) {
  const attempt = {
    fingerprint: FINGERPRINT,
    startedAt,
    at,
    isPresumedCrash,
    segmentIds: [],
    serviceId: 'desk',
    trial: null,
    hasAnswer: false,
  };
  return recordLostAttempt(state, 'e1', attempt);
}

function crash(state: SuspectState, startedAt: number, at: number, endpointId = 'e1') {
  return recordCrash(state, {
    fingerprint: FINGERPRINT,
    endpointId,
    startedAt,
    at,
    isAlone: false,
  });
}

const count = (state: SuspectState, now: number) => countCrashes(state, FINGERPRINT, now).crashes;

describe('an attempt without a complete answer', () => {
  it('is a crash when its endpoint is found to have ended within ten seconds', (t) => {
    const state = createSuspectState();
    lose(state, 1000, 1200);
    t.is(count(state, 1200), 0);
    t.is(recordEndpointEnd(state, 'e1', 11_000).length, 1);
    t.is(count(state, 11_000), 1);
  });

  it('is no crash when the end is found later, or is that of another endpoint', (t) => {
    const state = createSuspectState();
    lose(state, 1000, 1200);
    recordEndpointEnd(state, 'e2', 2000);
    recordEndpointEnd(state, 'e1', 11_300);
    t.is(count(state, 11_300), 0);
  });

  it('is a crash when it is lost after the end was found, if it was sent before', (t) => {
    const state = createSuspectState();
    recordEndpointEnd(state, 'e1', 2000);
    t.is(lose(state, 2100, 2200), null);
    t.not(lose(state, 1900, 4000), null);
    t.is(count(state, 4000), 1);
  });

  const losses = { 'given up': false, broken: true };
  Object.entries(losses).forEach(([title, isBroken]) => {
    it(`that was ${title} is ${isBroken ? 'a' : 'no'} crash when its endpoint answers and ends later`, (t) => {
      const state = createSuspectState();
      lose(state, 1000, 1200, isBroken);
      recordEndpointAlive(state, 'e1', 1300);
      t.is(recordEndpointEnd(state, 'e1', 3000, 'recent').length, isBroken ? 1 : 0);
    });
  });

  it('is a crash when its endpoint answered a check that began before, or has another lifetime', (t) => {
    const state = createSuspectState();
    lose(state, 1000, 1200);
    recordEndpointAlive(state, 'e1', 1100);
    t.is(recordEndpointEnd(state, 'e1', 3000, 'recent').length, 1);
    lose(state, 4000, 4200);
    recordEndpointHeard(state, 'e1', 4300);
    t.is(recordEndpointEnd(state, 'e1', 5000).length, 1);
  });

  it('that is lost long after a silent end speaks against no segment that was answered since', (t) => {
    const state = createSuspectState();
    lose(state, 900, 2600);
    const [found] = recordEndpointEnd(state, 'e1', 2700, 'recent', 1000);
    const foundBefore = [2800, 4100].map((at) => lose(state, 950, at));
    recordEndpointEnd(state, 'e1', 6000);
    const later = lose(state, 950, 6900);
    t.deepEqual(
      [found, ...foundBefore, later].map((crashed) => crashed?.at),
      [1000, 1000, 1000, 1000],
    );
    t.is(lose(state, 900, 990, true)?.at, 990);
  });

  it('is dated by the later end of an endpoint that was back between two', (t) => {
    const state = createSuspectState();
    recordEndpointEnd(state, 'e1', 2700, 'recent', 1000);
    recordEndpointAlive(state, 'e1', 3000);
    recordEndpointEnd(state, 'e1', 6000);
    t.is(lose(state, 5000, 6900)?.at, 6000);
  });

  it('counts as a crash of a request that has two until a health check succeeds', (t) => {
    const state = createSuspectState();
    crash(state, 0, 100);
    crash(state, 200, 300);
    lose(state, 400, 500, true);
    t.is(classifyRequest(state, FINGERPRINT, 600), 'refused');
    recordEndpointAlive(state, 'e1', 450);
    t.is(classifyRequest(state, FINGERPRINT, 600), 'refused');
    recordEndpointAlive(state, 'e1', 550);
    t.is(classifyRequest(state, FINGERPRINT, 600), 'suspect');
  });

  it('is forgotten in the end, and only so many are kept', (t) => {
    const state = createSuspectState();
    for (let index = 0; index < 1000; index += 1) lose(state, index, index + 1);
    t.true(state.endpointTraces.get('e1')!.lostAttempts.length <= 128);
    removeExpiredTraces(state, 12_000);
    t.false(hasLostAttempts(state, 'e1'));
    t.is(state.endpointTraces.size, 0);
  });
});

describe('crashes of one endpoint under one request', () => {
  it('are one when the times of the attempts overlap, in whatever order they are reported', (t) => {
    const attempts = [
      [1000, 1500],
      [1200, 1510],
      [1400, 1490],
    ] as const;
    [attempts, [...attempts].reverse()].forEach((ordered) => {
      const state = createSuspectState();
      ordered.forEach(([startedAt, at]) => crash(state, startedAt, at));
      ordered.forEach(([startedAt, at]) => t.false(crash(state, startedAt, at)));
      t.is(count(state, 2000), 1);
    });
  });

  it('are several when it was sent again after the first, even in the instant of the crash', (t) => {
    const state = createSuspectState();
    crash(state, 1000, 1500);
    crash(state, 1500, 1500);
    crash(state, 1500, 1600);
    t.is(count(state, 2000), 3);
  });

  it('add up when each comes nine minutes after the one before', (t) => {
    const state = createSuspectState();
    const nineMinutes = 540_000;
    for (let index = 0; index < 3; index += 1) {
      const at = index * nineMinutes + 100;
      crash(state, at - 50, at);
      removeExpiredCrashes(state, at);
    }
    t.is(classifyRequest(state, FINGERPRINT, 2 * nineMinutes + 200), 'refused');
  });
});
