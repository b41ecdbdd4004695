import {
  classifySegments,
  createRandom,
  recordSegmentAnswer,
  type LostAttempt,
} from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';
import { createLogger } from 'winston';

import { now } from '../../src/clock.js';
import { CrashRecorder } from '../../src/gateway/crashRecorder.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState } from '../../src/gateway/gatewayState.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { createTestMetrics } from './fixtures.js';

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

const SERVICE = 'desk';
const ENDPOINTS = ['e1', 'e2', 'e3', 'e4'];

function createRecorder() {
  const state = createGatewayState(settings, createRandom(1));
  const log = new GatewayLog(createLogger({ silent: true }));
  const recorder = new CrashRecorder(state, createTestMetrics(), log);
  const instant = now();
  const lose = (
    endpointId: string,
    ageMs: number,
    trial: LostAttempt['trial'] = null,
    fingerprint: string | null = null,
  ) =>
    recorder.recordLostAttempt(endpointId, {
      fingerprint,
      startedAt: instant - 3000,
      at: instant - ageMs,
      isPresumedCrash: false,
      segmentIds: ['first'],
      serviceId: SERVICE,
      trial,
      hasAnswer: false,
    });
  const endAll = (silentMs: number) =>
    ENDPOINTS.forEach((id) => {
      recorder.recordEndpointEnd(id, 'silent', 'recent', instant - silentMs);
    });
  const answer = (ageMs: number) =>
    recordSegmentAnswer(state.segmentSuspects, SERVICE, ['first'], instant - ageMs);
  const verdict = () => classifySegments(state.segmentSuspects, SERVICE, ['first'], instant).kind;
  return { answer, endAll, lose, recorder, verdict };
}

describe('attempts that are lost long after their endpoints fell silent', () => {
  it('do not make a segment suspect that was answered since', (t) => {
    const { answer, endAll, lose, verdict } = createRecorder();
    ENDPOINTS.forEach((id) => lose(id, 100));
    answer(1000);
    endAll(2000);
    t.is(verdict(), 'sound');
    ENDPOINTS.forEach((id) => lose(id, 0));
    t.is(verdict(), 'sound');
  });

  it('make one suspect that was not', (t) => {
    const { answer, endAll, lose, verdict } = createRecorder();
    ENDPOINTS.forEach((id) => lose(id, 100));
    answer(2500);
    endAll(2000);
    t.is(verdict(), 'suspect');
  });
});

describe('a crash of a request', () => {
  it('is told to peers at once, from the second endpoint on', (t) => {
    const { lose, recorder } = createRecorder();
    const told: number[] = [];
    ENDPOINTS.slice(0, 3).forEach((id, index) => {
      recorder.onSuspect(() => told.push(index + 1));
      lose(id, 0, null, 'f');
      recorder.recordEndpointEnd(id, 'unreachable', 'recent');
    });
    t.deepEqual(told, [2, 3]);
  });
});
