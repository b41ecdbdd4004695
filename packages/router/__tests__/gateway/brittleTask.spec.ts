import { setTimeout as sleep } from 'node:timers/promises';

import { BEAT_INTERVAL_MS, createRandom } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import { now } from '../../src/clock.js';
import { BrittleTask } from '../../src/gateway/brittleTask.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState } from '../../src/gateway/gatewayState.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { createLog } from '../../src/log/index.js';
import { blockLoop } from './threadedEndpoint.js';

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

describe('a peer that is unread after a standstill of the process', () => {
  it('keeps its part of the slots of brittle endpoints', async (t) => {
    const state = createGatewayState(settings, createRandom(1));
    const loopDelay = new LoopDelay();
    const timer = setInterval(() => loopDelay.beat(), BEAT_INTERVAL_MS);
    const brittle = new BrittleTask(state, loopDelay, new GatewayLog(createLog('vm-1', 'error')));
    await sleep(2 * BEAT_INTERVAL_MS);
    const versions = { configurationVersion: 1, directoryRevision: 1 };
    const address = '127.0.0.1:5';
    state.peers.set('vm-2', { address, heardAt: now(), hasStore: true, ...versions });
    blockLoop(4500);
    brittle.maintain();
    t.deepEqual(state.brittleness.vmIds, ['vm-1', 'vm-2']);
    clearInterval(timer);
  });
});
