import { setTimeout as sleep } from 'node:timers/promises';

import {
  applyEntryChange,
  BEAT_INTERVAL_MS,
  createRandom,
  ejectEndpoint,
  getHealthPhase,
  countCrashes,
  markStoreLost,
  markStoreRegained,
  replaceEntries,
  type RegisteredEndpoint,
} from '@filbertlatch/core';
import { describe, it, itSerial } from '@filbertlatch/core/testing';
import { request } from 'undici';

import { OversizedAnswerError } from '../../src/bounds/index.js';
import { now } from '../../src/clock.js';
import { CrashRecorder } from '../../src/gateway/crashRecorder.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState, type GatewayState } from '../../src/gateway/gatewayState.js';
import { PublicationTask } from '../../src/gateway/publicationTask.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import type { PublicationSource } from '../../src/gateway/index.js';
import { createLog } from '../../src/log/index.js';
import { createSource, createTestMetrics, waitUntil } from './fixtures.js';
import { blockLoop, startThreadedEndpoint } from './threadedEndpoint.js';

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

const createEndpoint = (startedAt: number): RegisteredEndpoint => ({
  id: 'e1',
  serviceId: 'desk',
  address: '127.0.0.1:5',
  zone: 'zone-a',
  slots: 6,
  state: 'ready',
  startedAt,
  version: null,
});

/** Publishes an endpoint, then the changes that the test makes. */
class ChangingSource {
  #change: ((text: string | null) => void) | null = null;

  readonly source: PublicationSource = {
    ...createSource(null, [createEndpoint(1)]),
    decodeEndpoint: (_id, text) => createEndpoint(text === 'e1' ? 1 : 2),
    watch: async (part, after, signal) => {
      const text = await new Promise<string | null>((resolve, reject) => {
        if (part === 'endpoints') this.#change = resolve;
        signal.addEventListener('abort', () => reject(new Error('stopped')));
      });
      return { entries: [{ id: 'e1', text }], revision: after + 1 };
    },
  };

  async change(text: string | null): Promise<void> {
    await waitUntil(() => this.#change !== null);
    this.#change!(text);
  }
}

async function withTask(
  use: (state: GatewayState, crashes: CrashRecorder, source: ChangingSource) => Promise<void>,
) {
  const state = createGatewayState(settings, createRandom(1));
  const log = new GatewayLog(createLog('vm-1', 'error'));
  const crashes = new CrashRecorder(state, createTestMetrics(), log);
  const source = new ChangingSource();
  const task = new PublicationTask(state, source.source, crashes, new LoopDelay(), log);
  task.start();
  try {
    await waitUntil(() => state.directory.endpoints.has('e1'));
    await use(state, crashes, source);
  } finally {
    task.stop();
  }
}

describe('an endpoint in the publication', () => {
  it('that restarts under its id is not ejected for failures before the restart', async (t) => {
    await withTask(async (state, _crashes, source) => {
      ejectEndpoint(state.health, 'e1', 'failures', now());
      await source.change('restarted');
      await waitUntil(() => state.directory.endpoints.get('e1')?.startedAt === 2);
      t.is(getHealthPhase(state.health, 'e1'), 'healthy');
    });
  });

  const signs = { 'restarts under its id': 'restarted', 'is removed while it is ready': null };
  Object.entries(signs).forEach(([title, text]) => {
    it(`that ${title} has crashed under the attempts that it did not answer`, async (t) => {
      await withTask(async (state, crashes, source) => {
        const at = now();
        const work = { segmentIds: [], serviceId: 'desk', trial: null, hasAnswer: false };
        const lost = { startedAt: at - 50, at, isPresumedCrash: false, ...work };
        crashes.recordLostAttempt('e1', { fingerprint: 'silent', ...lost });
        t.is(countCrashes(state.suspects, 'silent', now()).crashes, 0);
        await source.change(text);
        await waitUntil(() => countCrashes(state.suspects, 'silent', now()).crashes === 1);
        t.pass();
      });
    });
  });
});

describe('a store with more changes than one answer may have', () => {
  it('is read completely instead, after a failed call', async (t) => {
    const calls: string[] = [];
    const source: PublicationSource = {
      ...createSource(null, []),
      read: async (part) => {
        calls.push(`read ${part}`);
        return { entries: [], revision: 1 };
      },
      watch: async (part) => {
        calls.push(`watch ${part}`);
        throw new OversizedAnswerError('too many changes');
      },
    };
    const state = createGatewayState(settings, createRandom(1));
    const log = new GatewayLog(createLog('vm-1', 'error'));
    const crashes = new CrashRecorder(state, createTestMetrics(), log);
    const task = new PublicationTask(state, source, crashes, new LoopDelay(), log);
    task.start();
    await waitUntil(() => calls.filter((call) => call === 'read endpoints').length === 3);
    task.stop();
    const ofEndpoints = calls.filter((call) => call.endsWith('endpoints')).slice(0, 4);
    const expected = ['read endpoints', 'watch endpoints', 'read endpoints', 'watch endpoints'];
    t.deepEqual(ofEndpoints, expected);
  });
});

describe('a store that answers while the process stands still', () => {
  itSerial('is not lost', async (t) => {
    const store = await startThreadedEndpoint('store', { answerDelayMs: 1000 });
    const source: PublicationSource = {
      ...createSource(null, []),
      watch: async (_part, after, signal) => {
        await request(`http://${store.endpoint.address}/watch`, { signal });
        return { entries: [], revision: after + 1 };
      },
    };
    const state = createGatewayState(settings, createRandom(1));
    const log = new GatewayLog(createLog('vm-1', 'error'));
    const crashes = new CrashRecorder(state, createTestMetrics(), log);
    const loopDelay = new LoopDelay();
    const timer = setInterval(() => loopDelay.beat(), BEAT_INTERVAL_MS);
    const task = new PublicationTask(state, source, crashes, loopDelay, log);
    task.start();
    try {
      await waitUntil(() => store.paths.length === 2);
      blockLoop(3500);
      await waitUntil(() => store.paths.length === 4);
      t.true(task.isConnected);
    } finally {
      task.stop();
      clearInterval(timer);
      await store.close();
    }
  });
});

describe('an endpoint whose entry lapsed in an outage of the store', () => {
  itSerial('is not removed before what was written in a standstill is read', async (t) => {
    const state = createGatewayState(settings, createRandom(1));
    const log = new GatewayLog(createLog('vm-1', 'error'));
    const crashes = new CrashRecorder(state, createTestMetrics(), log);
    const loopDelay = new LoopDelay();
    const timer = setInterval(() => loopDelay.beat(), BEAT_INTERVAL_MS);
    const task = new PublicationTask(state, createSource(null, []), crashes, loopDelay, log);
    const { directory } = state;
    await sleep(2 * BEAT_INTERVAL_MS);
    replaceEntries(directory, [createEndpoint(1)], { era: null, revision: 1 }, now());
    markStoreLost(directory);
    applyEntryChange(directory, { id: 'e1', endpoint: null, isRemoved: true }, now());
    markStoreRegained(directory, now());
    blockLoop(2500);
    task.maintain();
    t.true(directory.endpoints.has('e1'));
    await sleep(2300);
    task.maintain();
    t.false(directory.endpoints.has('e1'));
    clearInterval(timer);
  });
});
