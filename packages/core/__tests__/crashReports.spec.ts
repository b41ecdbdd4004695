import { describe, it } from '@filbertlatch/core/testing';

import {
  classifyRequest,
  clearCrashes,
  createRandom,
  createSuspectState,
  recordCrash,
  recordPeerAnswers,
  recordPeerCrashes,
  recordPeerRefusals,
  takeAnswerReports,
  takeCrashReports,
  takeRefusalReports,
  type CrashReport,
  type SuspectState,
} from '../src/index.js';

const MESSAGE_INTERVAL_MS = 100;
const LOST_MESSAGES = 0.2;

/** Time within which all VMs must know that a request is refused. */
const SETTLE_MS = 3000;

function createReports(fingerprint: string, crashes: number, at: number): CrashReport[] {
  return Array.from({ length: crashes }, (_, index) => ({
    fingerprint,
    endpointId: 'e1',
    startedAt: at + index * 100,
    at: at + index * 100 + 50,
    isAlone: false,
  }));
}

function recordMany(state: SuspectState, prefix: string, count: number, crashes: number): void {
  for (let index = 0; index < count; index += 1) {
    createReports(`${prefix}-${index}`, crashes, 1000 + index).forEach((report) => {
      recordCrash(state, report);
    });
  }
}

/** Sends messages from one VM to another for `SETTLE_MS`; each may be lost. */
function exchange(from: SuspectState, to: SuspectState, seed: number): void {
  const random = createRandom(seed);
  for (let now = 10_000; now < 10_000 + SETTLE_MS; now += MESSAGE_INTERVAL_MS) {
    const reports = takeCrashReports(from);
    const answers = takeAnswerReports(from);
    const refusals = takeRefusalReports(from, now);
    if (random.next() >= LOST_MESSAGES) {
      recordPeerCrashes(to, reports, now);
      recordPeerRefusals(to, refusals, now);
      recordPeerAnswers(to, answers, now);
    }
  }
}

const countVerdicts = (state: SuspectState, prefix: string, verdict: string) =>
  [...state.crashHistories.keys()].filter(
    (fingerprint) =>
      fingerprint.startsWith(prefix) && classifyRequest(state, fingerprint, 13_000) === verdict,
  ).length;

describe('reports of crashes to a VM that starts anew', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    it(`tell of all refused requests, though one message has no room for them (seed ${seed})`, (t) => {
      const known = createSuspectState();
      recordMany(known, 'refused', 60, 3);
      recordMany(known, 'beside', 100, 1);
      const fresh = createSuspectState();
      exchange(known, fresh, seed);
      t.is(countVerdicts(fresh, 'refused', 'refused'), 60);
      t.is(countVerdicts(fresh, 'beside', 'refused'), 0);
    });
  }

  it('tell of single crashes too while many requests are refused', (t) => {
    const known = createSuspectState();
    recordMany(known, 'refused', 200, 3);
    recordMany(known, 'beside', 40, 1);
    const fresh = createSuspectState();
    exchange(known, fresh, 1);
    t.is([...fresh.crashHistories.keys()].filter((key) => key.startsWith('beside')).length, 40);
  });

  it('are bounded', (t) => {
    const known = createSuspectState();
    recordMany(known, 'refused', 200, 8);
    t.true(takeCrashReports(known).length <= 32);
  });
});

describe('reports of crashes to a VM whose clock is behind, since it was suspended', () => {
  [6000, 60_000, 590_000].forEach((lagMs) => {
    it(`are taken in (${lagMs / 1000} s)`, (t) => {
      const now = 1_000_000;
      const state = createSuspectState();
      recordPeerCrashes(state, createReports('crashing', 3, now), now - lagMs);
      recordPeerRefusals(state, [{ fingerprint: 'refused', at: now }], now - lagMs);
      t.is(classifyRequest(state, 'crashing', now - lagMs), 'refused');
      t.is(classifyRequest(state, 'refused', now - lagMs), 'refused');
    });
  });

  it('are ignored from a peer whose clock is ahead by more than crashes count', (t) => {
    const state = createSuspectState();
    recordPeerCrashes(state, createReports('crashing', 3, 2_000_000), 1_000_000);
    t.is(classifyRequest(state, 'crashing', 1_000_000), 'innocent');
  });
});

describe('a full list of crashes', () => {
  it('keeps a refused request when many others crash once', (t) => {
    const state = createSuspectState();
    recordMany(state, 'refused', 1, 3);
    recordMany(state, 'beside', 5000, 1);
    t.true(state.crashHistories.size <= 2000);
    t.is(countVerdicts(state, 'refused', 'refused'), 1);
  });
});

describe('a request that an endpoint has answered in full', () => {
  it('is not refused for the crashes before it that peers report again', (t) => {
    const [first, second, third] = [
      createSuspectState(),
      createSuspectState(),
      createSuspectState(),
    ];
    recordMany(first, 'beside', 1, 3);
    exchange(first, second, 1);
    exchange(first, third, 1);
    t.is(countVerdicts(second, 'beside', 'refused'), 1);
    clearCrashes(second, 'beside-0', 5000);
    exchange(second, third, 2);
    exchange(first, second, 3);
    exchange(first, third, 4);
    t.is(classifyRequest(second, 'beside-0', 13_000), 'innocent');
    t.is(classifyRequest(third, 'beside-0', 13_000), 'innocent');
  });

  it('is refused again after three later crashes', (t) => {
    const state = createSuspectState();
    recordMany(state, 'beside', 1, 3);
    clearCrashes(state, 'beside-0', 5000);
    createReports('beside-0', 3, 6000).forEach((report) => recordCrash(state, report));
    t.is(classifyRequest(state, 'beside-0', 13_000), 'refused');
  });
});
