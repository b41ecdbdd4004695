// A VM goes on by the store's word after the store has come back from an older copy: revisions count anew,
// and what was believed before is neither dropped at once nor kept for good.
import { setTimeout as sleep } from 'node:timers/promises';

import { install } from '@sinonjs/fake-timers';
import test, { type ExecutionContext } from 'ava';

import {
  BEAT_INTERVAL_MS,
  configurationVersion,
  createRandom,
  type RegisteredEndpoint,
} from '@filbertlatch/core';
import { describe, itKnownRed, itSerial as it } from '@filbertlatch/core/testing';

import { CrashRecorder } from '../../src/gateway/crashRecorder.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState, type GatewayState } from '../../src/gateway/gatewayState.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { PublicationTask } from '../../src/gateway/publicationTask.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { createLog } from '../../src/log/index.js';
import { createTestMetrics, waitUntil } from './fixtures.js';
import { ReturningStore } from './returningStore.js';

const LAPSE_GRACE_MS = 2000;
const CONFIGURATION_GRACE_MS = 10_000;

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

const { nodeTiming } = performance;
const clock = install({ toFake: ['performance', 'Date'] });
Object.defineProperty(performance, 'nodeTiming', { value: nodeTiming });
test.after.always(() => clock.uninstall());

function createEndpoint(id: string, fields: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint {
  const place = { serviceId: 'desk', address: '127.0.0.1:5', zone: 'zone-a', slots: 6 };
  return { id, ...place, state: 'ready', startedAt: 1, version: null, ...fields };
}

interface Vm {
  readonly state: GatewayState;
  readonly task: PublicationTask;
  readonly loopDelay: LoopDelay;
}

function createVm(t: ExecutionContext, store: ReturningStore): Vm {
  const state = createGatewayState(settings, createRandom(1));
  const log = new GatewayLog(createLog('vm-1', 'error'));
  const crashes = new CrashRecorder(state, createTestMetrics(), log);
  const loopDelay = new LoopDelay();
  const task = new PublicationTask(state, store.createSource(), crashes, loopDelay, log);
  task.start();
  t.teardown(() => task.stop());
  return { state, task, loopDelay };
}

const listIds = ({ state }: Vm) => [...state.directory.endpoints.keys()].sort();
const knows = (vm: Vm, id: string) => waitUntil(() => vm.state.directory.endpoints.has(id));
const hasVersion = ({ state }: Vm, version: number) =>
  waitUntil(() => configurationVersion(state.routing) === version);

function wait({ task, loopDelay }: Vm, ms: number): void {
  for (let leftMs = ms; leftMs > 0; leftMs -= BEAT_INTERVAL_MS) {
    clock.tick(Math.min(BEAT_INTERVAL_MS, leftMs));
    loopDelay.beat();
    task.maintain();
  }
}

/** A VM that has read e1 of the copy and e2, which the store loses. */
async function startVm(t: ExecutionContext) {
  const store = new ReturningStore();
  store.put(createEndpoint('e1'));
  store.publish(4);
  const copy = store.copy();
  store.put(createEndpoint('e2'));
  const vm = createVm(t, store);
  await Promise.all([knows(vm, 'e2'), hasVersion(vm, 4)]);
  return { store, copy, vm };
}

describe('a store that comes back from an older copy', () => {
  const absences = { 'while a VM watches': 0, 'while a VM is cut off from it': 400 };
  Object.entries(absences).forEach(([title, awayMs]) => {
    describe(title, () => {
      it('is read where a revision is given out again for another change', async (t) => {
        const { store, copy, vm } = await startVm(t);
        store.isAway = awayMs > 0;
        await sleep(awayMs);
        store.comeBack(copy);
        store.put(createEndpoint('e3'));
        await knows(vm, 'e3');
        t.deepEqual(listIds(vm), ['e1', 'e2', 'e3']);
        await waitUntil(() => store.reads.configuration > 1);
        await sleep(400);
        t.deepEqual(store.reads, { configuration: 2, endpoints: 2 });
      });

      it('does not bring an endpoint to its end that is written again', async (t) => {
        const { store, copy, vm } = await startVm(t);
        store.isAway = awayMs > 0;
        await sleep(awayMs);
        store.comeBack(copy);
        await waitUntil(() => vm.state.directory.lapsed.has('e2'));
        store.put(createEndpoint('e2'));
        await waitUntil(() => !vm.state.directory.lapsed.has('e2'));
        wait(vm, LAPSE_GRACE_MS + 1);
        t.deepEqual(listIds(vm), ['e1', 'e2']);
      });
    });
  });

  it('ends an endpoint that is not written again within two seconds', async (t) => {
    const { store, copy, vm } = await startVm(t);
    store.comeBack(copy);
    await waitUntil(() => vm.state.directory.lapsed.has('e2'));
    wait(vm, LAPSE_GRACE_MS - 1);
    t.deepEqual(listIds(vm), ['e1', 'e2']);
    wait(vm, 2);
    t.deepEqual(listIds(vm), ['e1']);
  });

  it('does not undo what is known of an endpoint', async (t) => {
    const { store, copy, vm } = await startVm(t);
    store.put(createEndpoint('e1', { state: 'draining' }));
    await waitUntil(() => vm.state.directory.endpoints.get('e1')?.state === 'draining');
    store.comeBack(copy);
    await waitUntil(() => vm.state.directory.lapsed.has('e2'));
    t.is(vm.state.directory.endpoints.get('e1')?.state, 'draining');
    store.put(createEndpoint('e1', { startedAt: 2 }));
    await waitUntil(() => vm.state.directory.endpoints.get('e1')?.state === 'ready');
  });

  it('is followed again when it comes back twice', async (t) => {
    const { store, copy, vm } = await startVm(t);
    store.comeBack(copy);
    store.comeBack(copy);
    store.put(createEndpoint('e3'));
    await knows(vm, 'e3');
    store.comeBack(copy);
    store.put(createEndpoint('e4'));
    await knows(vm, 'e4');
    wait(vm, LAPSE_GRACE_MS + 1);
    t.deepEqual(listIds(vm), ['e1', 'e4']);
  });

  describe('without a version of the configuration', () => {
    it('keeps it in force until it is written again', async (t) => {
      const { store, copy, vm } = await startVm(t);
      store.publish(5);
      await hasVersion(vm, 5);
      store.comeBack(copy);
      await waitUntil(() => store.reads.configuration === 2);
      t.is(configurationVersion(vm.state.routing), 5);
      store.publish(5);
      await waitUntil(() => vm.state.routing.era === 2);
      wait(vm, CONFIGURATION_GRACE_MS + 1);
      t.is(configurationVersion(vm.state.routing), 5);
      store.publish(6);
      await hasVersion(vm, 6);
    });

    it('puts the one before in force that stays the latest', async (t) => {
      const { store, copy, vm } = await startVm(t);
      store.publish(5);
      await hasVersion(vm, 5);
      store.comeBack(copy);
      await waitUntil(() => store.reads.configuration === 2);
      await sleep(50);
      wait(vm, CONFIGURATION_GRACE_MS - 1);
      t.is(configurationVersion(vm.state.routing), 5);
      wait(vm, 2);
      t.is(configurationVersion(vm.state.routing), 4);
      vm.task.offerConfiguration('5', 1, 'vm-2');
      t.is(configurationVersion(vm.state.routing), 4);
    });
  });

  describe('without a version of the configuration, which is written again unread', () => {
    it('does not put the one before in force while the store is away', async (t) => {
      const { store, copy, vm } = await startVm(t);
      store.publish(5);
      await hasVersion(vm, 5);
      store.comeBack(copy);
      await waitUntil(() => store.reads.configuration === 2);
      await sleep(50);
      store.isAway = true;
      await waitUntil(() => !vm.task.isConnected);
      store.publish(5);
      wait(vm, CONFIGURATION_GRACE_MS + 1);
      t.is(configurationVersion(vm.state.routing), 5);
    });

    it('does not put the one before in force by the word of a VM that has started since', async (t) => {
      const { store, copy, vm } = await startVm(t);
      store.publish(5);
      await hasVersion(vm, 5);
      store.comeBack(copy);
      await waitUntil(() => store.reads.configuration === 2);
      const started = createVm(t, store);
      await hasVersion(started, 4);
      const { configurationText, routing } = started.state;
      vm.task.offerConfiguration(configurationText!, routing.era, 'vm-2');
      t.is(configurationVersion(vm.state.routing), 5);
    });

    it('does not put the one before in force after a standstill', async (t) => {
      const { store, copy, vm } = await startVm(t);
      store.publish(5);
      await hasVersion(vm, 5);
      store.comeBack(copy);
      await waitUntil(() => store.reads.configuration === 2);
      await sleep(50);
      wait(vm, 1000);
      store.publish(5);
      clock.tick(CONFIGURATION_GRACE_MS);
      vm.loopDelay.beat();
      vm.task.maintain();
      t.is(configurationVersion(vm.state.routing), 5);
    });
  });

  describe('without a version of the configuration that a VM which has just started has from a peer', () => {
    /** A VM that starts while the store is away, and is told version 5 of the era before. */
    async function startLate(t: ExecutionContext) {
      const { store, copy } = await startVm(t);
      store.isAway = true;
      const vm = createVm(t, store);
      await waitUntil(() => !vm.task.isConnected);
      vm.task.offerConfiguration('5', 1, 'vm-2');
      t.is(configurationVersion(vm.state.routing), 5);
      store.comeBack(copy);
      await waitUntil(() => vm.task.isConnected);
      await sleep(50);
      return { store, vm };
    }

    it('keeps it in force until it is written again', async (t) => {
      const { store, vm } = await startLate(t);
      wait(vm, CONFIGURATION_GRACE_MS - 1);
      t.is(configurationVersion(vm.state.routing), 5);
      store.publish(5);
      await waitUntil(() => vm.state.routing.era === 2);
      wait(vm, CONFIGURATION_GRACE_MS + 1);
      t.is(configurationVersion(vm.state.routing), 5);
    });

    it('puts the one before in force that stays the latest', async (t) => {
      const { vm } = await startLate(t);
      wait(vm, CONFIGURATION_GRACE_MS + 1);
      t.is(configurationVersion(vm.state.routing), 4);
      t.is(vm.state.routing.era, 2);
    });
  });

  describe('without a version of the configuration, which a VM that has just started reads first', () => {
    async function startAfter(t: ExecutionContext) {
      const { store, copy } = await startVm(t);
      store.comeBack(copy);
      const vm = createVm(t, store);
      await hasVersion(vm, 4);
      return { store, vm };
    }

    it('puts the version in force that a peer has from the era before', async (t) => {
      const { store, vm } = await startAfter(t);
      vm.task.offerConfiguration('5', 1, 'vm-2');
      t.is(configurationVersion(vm.state.routing), 5);
      wait(vm, CONFIGURATION_GRACE_MS - 1);
      t.is(configurationVersion(vm.state.routing), 5);
      store.publish(5);
      await waitUntil(() => vm.state.routing.era === 2);
      wait(vm, CONFIGURATION_GRACE_MS + 1);
      t.is(configurationVersion(vm.state.routing), 5);
    });

    it('names the era to no peer until the store has settled', async (t) => {
      const { vm } = await startAfter(t);
      t.is(vm.state.routing.era, null);
      wait(vm, CONFIGURATION_GRACE_MS + 1);
      t.is(vm.state.routing.era, 2);
    });

    it('names the era at once of a version that is written since', async (t) => {
      const { store, vm } = await startAfter(t);
      store.publish(6);
      await hasVersion(vm, 6);
      t.is(vm.state.routing.era, 2);
    });
  });

  describe('to a VM that has lost it', () => {
    const e9 = createEndpoint('e9');

    it('is known from a peer that has read the new era', async (t) => {
      const { store, vm } = await startVm(t);
      store.isAway = true;
      await waitUntil(() => !vm.task.isConnected);
      vm.task.offerEndpoints([e9], { era: 2, revision: 3 }, 'vm-2');
      t.deepEqual(listIds(vm), ['e9']);
      vm.task.offerConfiguration('3', 2, 'vm-2');
      t.is(configurationVersion(vm.state.routing), 3);
    });

    it('is not taken for the one before by the word of a peer', async (t) => {
      const { store, copy, vm } = await startVm(t);
      store.comeBack(copy);
      await waitUntil(() => vm.state.directory.lapsed.has('e2'));
      store.isAway = true;
      await waitUntil(() => !vm.task.isConnected);
      vm.task.offerEndpoints([e9], { era: 1, revision: 99 }, 'vm-2');
      t.deepEqual(listIds(vm), ['e1', 'e2']);
    });
  });

  it('is read by a VM that has just started', async (t) => {
    const { store, copy } = await startVm(t);
    store.comeBack(copy);
    const vm = createVm(t, store);
    await knows(vm, 'e1');
    store.put(createEndpoint('e2'));
    await knows(vm, 'e2');
    wait(vm, LAPSE_GRACE_MS + 1);
    t.deepEqual(listIds(vm), ['e1', 'e2']);
  });
});

describe('an era of the store', () => {
  const eras = { missing: undefined, fractional: 1.5, 'not a number': Number.NaN, lower: 0 };
  Object.entries(eras).forEach(([title, era]) => {
    it(`that is ${title} empties no list`, async (t) => {
      const { store, vm } = await startVm(t);
      store.era = era;
      await sleep(600);
      wait(vm, LAPSE_GRACE_MS + 1);
      t.deepEqual(listIds(vm), ['e1', 'e2']);
      store.era = 2;
      store.put(createEndpoint('e3'));
      await knows(vm, 'e3');
    });
  });

  itKnownRed('that is named once, and too high, does not cut a VM off for good', async (t) => {
    const { store, vm } = await startVm(t);
    store.era = 99;
    await waitUntil(() => vm.state.directory.era === 99);
    store.era = 1;
    await sleep(600);
    wait(vm, CONFIGURATION_GRACE_MS + 1);
    store.publish(5);
    await sleep(2000);
    t.is(configurationVersion(vm.state.routing), 5);
  });
});
