// A connection to the store that fell silent was taken for an outage of the store, and the removal of an
// endpoint that had left for a lapsed entry, so that the endpoint stayed in use.
import { setTimeout as sleep } from 'node:timers/promises';

import type { ExecutionContext } from 'ava';

import {
  BEAT_INTERVAL_MS,
  configurationVersion,
  createRandom,
  isTakingRequests,
  type RegisteredEndpoint,
} from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import { CrashRecorder } from '../../src/gateway/crashRecorder.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState, type GatewayState } from '../../src/gateway/gatewayState.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { PublicationTask } from '../../src/gateway/publicationTask.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { createLog } from '../../src/log/index.js';
import { FaultyStore, type StoreFault } from './faultyStore.js';
import { createTestMetrics, waitUntil } from './fixtures.js';

/** Time from a disturbance until a VM counts as in touch. */
const STABLE_WINDOW_MS = 3000;

/** Time after the store's return in which endpoints write their entries again. */
const LAPSE_GRACE_MS = 2000;

const REMOVED_AFTER_MS = 500;
const OUTAGE_MS = 4000;

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

function createEndpoint(
  id: string,
  state: RegisteredEndpoint['state'] = 'ready',
): RegisteredEndpoint {
  const place = { serviceId: 'desk', address: '127.0.0.1:5', zone: 'zone-a', slots: 6 };
  return { id, ...place, state, startedAt: 1, version: null };
}

interface Vm {
  readonly store: FaultyStore;
  readonly state: GatewayState;
  readonly task: PublicationTask;
}

/** A VM that has read two endpoints and whose watches have been open for a while. */
async function startVm(t: ExecutionContext): Promise<Vm> {
  const store = new FaultyStore();
  store.publish(1);
  store.put(createEndpoint('e1'));
  store.put(createEndpoint('e2'));
  const state = createGatewayState(settings, createRandom(1));
  const log = new GatewayLog(createLog('vm-1', 'error'));
  const crashes = new CrashRecorder(state, createTestMetrics(), log);
  const loopDelay = new LoopDelay();
  const task = new PublicationTask(state, store.createSource(), crashes, loopDelay, log);
  const timer = setInterval(() => {
    loopDelay.beat();
    task.maintain();
  }, BEAT_INTERVAL_MS);
  task.start();
  t.teardown(() => {
    task.stop();
    clearInterval(timer);
  });
  await waitUntil(() => state.directory.endpoints.size === 2);
  await waitUntil(() => configurationVersion(state.routing) === 1);
  await sleep(300);
  return { store, state, task };
}

const isUsed = ({ state }: Vm, id: string) => isTakingRequests(state.directory, id);

describe('a connection to the store that fails', () => {
  const faults: readonly StoreFault[] = ['silent-connections', 'cut-connections'];
  faults.forEach((fault) => {
    [true, false].forEach((hasHistory) => {
      const way = hasHistory ? 'by a change' : 'by a complete read';
      it(`does not keep an endpoint in use whose removal is read ${way}: ${fault}`, async (t) => {
        const vm = await startVm(t);
        const failedAt = performance.now();
        vm.store.fail(fault);
        await sleep(REMOVED_AFTER_MS);
        vm.store.remove('e1');
        vm.store.hasHistory = hasHistory;
        await sleep(failedAt + STABLE_WINDOW_MS - performance.now());
        t.false(isUsed(vm, 'e1'));
        t.true(isUsed(vm, 'e2'));
        t.true(vm.task.isConnected);
      });
    });

    it(`does not keep an endpoint in use that is draining: ${fault}`, async (t) => {
      const vm = await startVm(t);
      vm.store.fail(fault);
      vm.store.put(createEndpoint('e1', 'draining'));
      await sleep(STABLE_WINDOW_MS);
      t.false(isUsed(vm, 'e1'));
      t.true(isUsed(vm, 'e2'));
    });

    it(`does not delay a configuration beyond the time to be in touch: ${fault}`, async (t) => {
      const vm = await startVm(t);
      vm.store.fail(fault);
      vm.store.publish(2);
      await sleep(STABLE_WINDOW_MS);
      t.is(configurationVersion(vm.state.routing), 2);
    });
  });
});

describe('a watch that is cut', () => {
  it('is begun again later: the store loses what comes at the moment of its return', async (t) => {
    const vm = await startVm(t);
    vm.store.fail('cut-connections');
    vm.store.publish(2);
    await waitUntil(() => configurationVersion(vm.state.routing) === 2);
    t.is(vm.store.ownConnections, 0);
  });
});

describe('a store that is away', () => {
  const faults: readonly StoreFault[] = ['hung', 'refusing'];
  faults.forEach((fault) => {
    it(`has endpoints stay in use whose entries lapse and are written again: ${fault}`, async (t) => {
      const vm = await startVm(t);
      vm.store.fail(fault);
      await sleep(OUTAGE_MS);
      vm.store.remove('e1');
      vm.store.fail(null);
      setTimeout(() => vm.store.put(createEndpoint('e1')), LAPSE_GRACE_MS - 500);
      for (let times = 0; times < 80; times += 1) {
        await sleep(50);
        t.true(isUsed(vm, 'e1'));
      }
    });

    it(`has endpoints removed whose entries are not written again: ${fault}`, async (t) => {
      const vm = await startVm(t);
      vm.store.fail(fault);
      await sleep(OUTAGE_MS);
      vm.store.remove('e1');
      vm.store.fail(null);
      await waitUntil(() => vm.state.directory.lapsed.has('e1'));
      await sleep(LAPSE_GRACE_MS + 2 * BEAT_INTERVAL_MS);
      t.false(isUsed(vm, 'e1'));
      t.true(isUsed(vm, 'e2'));
    });
  });
});

describe('a store that is slow', () => {
  it('is not lost', async (t) => {
    const vm = await startVm(t);
    vm.store.delayMs = 600;
    for (let times = 0; times < 100; times += 1) {
      await sleep(60);
      t.true(vm.task.isConnected);
    }
  });
});
