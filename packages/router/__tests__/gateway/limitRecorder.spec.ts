import { createRandom, getRequestLimit } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';
import type { Logger } from 'winston';

import type { AnswerMetadata } from '../../src/gateway/dialect.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState } from '../../src/gateway/gatewayState.js';
import { LimitRecorder } from '../../src/gateway/limitRecorder.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { createTestMetrics } from './fixtures.js';

function createRecorder() {
  const settings = parseGatewaySettings({
    vm: { id: 'vm-1', zone: 'zone-a' },
    listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
    seeds: [],
    platform: { address: '127.0.0.1:4' },
    graceSeconds: 8,
    repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
  });
  const state = createGatewayState(settings, createRandom(1));
  const metrics = createTestMetrics();
  const lines: string[] = [];
  const logger = { info: (event: string) => lines.push(event) } as unknown as Logger;
  const recorder = new LimitRecorder(state, metrics, new GatewayLog(logger));
  return { recorder, lines, getLimit: () => getRequestLimit(state.requestLimits, 'e1') };
}

/** Answer to a request that was sent after all answers before it. */
const later = () => ({ endpointId: 'e1', sentAt: Number.POSITIVE_INFINITY });

function createAnswer(changes: Partial<AnswerMetadata>): AnswerMetadata {
  return {
    requestId: 'r1',
    isNotRun: false,
    isSigned: true,
    endpointId: null,
    load: null,
    limit: null,
    isLeaving: false,
    pauseMs: null,
    ...changes,
  };
}

const limited = createAnswer({ limit: { kind: 'limit', perSecond: 3 } });

describe('the limit in an answer', () => {
  it('is recorded from successes, refusals and health checks, and logged when it changes', (t) => {
    const { recorder, lines, getLimit } = createRecorder();
    recorder.recordAnswer(later(), 503, limited);
    t.is(getLimit(), 3);
    recorder.recordAnswer(later(), 200, limited);
    recorder.recordHealthAnswer(later(), createAnswer({ limit: { kind: 'limit', perSecond: 2 } }));
    t.is(getLimit(), 2);
    t.deepEqual(lines, ['request_limit_changed', 'request_limit_changed']);
  });

  it('is ignored with a log line when it is malformed', (t) => {
    const { recorder, lines, getLimit } = createRecorder();
    recorder.recordAnswer(later(), 200, limited);
    const malformed = createAnswer({ limit: { kind: 'malformed', text: 'many' } });
    recorder.recordAnswer(later(), 200, malformed);
    t.is(getLimit(), 3);
    t.is(lines.at(-1), 'request_limit_unreadable');
  });

  it('is ignored when another endpoint answers at the address', (t) => {
    const { recorder, getLimit } = createRecorder();
    recorder.recordAnswer(later(), 421, limited);
    recorder.recordAnswer(later(), 200, { ...limited, endpointId: 'e2' });
    t.is(getLimit(), null);
  });

  it('ends with a success without it, not with a failure, a refusal or a health check', (t) => {
    const { recorder, getLimit } = createRecorder();
    recorder.recordAnswer(later(), 200, limited);
    recorder.recordAnswer(later(), 500, createAnswer({}));
    recorder.recordAnswer(later(), 503, createAnswer({ isNotRun: true }));
    recorder.recordHealthAnswer(later(), createAnswer({}));
    t.is(getLimit(), 3);
    recorder.recordAnswer(later(), 200, createAnswer({}));
    t.is(getLimit(), null);
  });
});
