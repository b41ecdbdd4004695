import {
  addWaiter,
  countOwnSlots,
  createBrittlenessState,
  hasOwnSlot,
  holdEndpointSlot,
  isBrittle,
  predictWaitMs,
  recordBrittle,
  recordSound,
  recordTurnedAway,
  releaseEndpointSlot,
  setSharingVms,
  takeWaiter,
  type RegisteredEndpoint,
} from '../src/index.js';
import { describe, it } from '../src/testing/index.js';

const START = 1_000_000;

const endpoint = (id: string, slots: number): RegisteredEndpoint => ({
  id,
  serviceId: 'desk',
  address: '127.0.0.1:1',
  zone: 'zone-a',
  slots,
  state: 'ready',
  startedAt: null,
  version: null,
});

const vmIds = Array.from({ length: 8 }, (_, index) => `vm-${index}`);

const createVm = (vmId: string) => {
  const state = createBrittlenessState(vmId);
  setSharingVms(state, vmIds);
  return state;
};

describe('the slots of a brittle endpoint', () => {
  for (let slots = 1; slots <= 20; slots += 1) {
    it(`are dealt out to all VMs, each to one (${slots} slots)`, (t) => {
      ['e1', 'e2', 'e3'].forEach((id) => {
        const own = vmIds.map((vmId) => countOwnSlots(createVm(vmId), endpoint(id, slots)));
        t.is(
          own.reduce((sum, count) => sum + count, 0),
          slots,
        );
        t.true(Math.max(...own) - Math.min(...own) <= 1);
      });
    });
  }

  it('are used once each, and again when released', (t) => {
    const state = createBrittlenessState('vm-0');
    const one = endpoint('e1', 2);
    holdEndpointSlot(state, 'e1');
    t.true(hasOwnSlot(state, one, START));
    holdEndpointSlot(state, 'e1');
    t.false(hasOwnSlot(state, one, START));
    releaseEndpointSlot(state, 'e1');
    t.true(hasOwnSlot(state, one, START));
  });

  it('are left alone for a while after a request was turned away', (t) => {
    const state = createBrittlenessState('vm-0');
    recordTurnedAway(state, 'e1', START);
    t.false(hasOwnSlot(state, endpoint('e1', 2), START + 1000));
    t.true(hasOwnSlot(state, endpoint('e1', 2), START + 2000));
    t.true(hasOwnSlot(state, endpoint('e2', 2), START));
  });
});

describe('a brittle service', () => {
  it('is one as long as answers say so, whoever got them', (t) => {
    const state = createBrittlenessState('vm-0');
    t.false(isBrittle(state, 'desk', START));
    recordBrittle(state, 'desk', 4, START);
    t.true(isBrittle(state, 'desk', START + 9000));
    recordBrittle(state, 'desk', 4, START - 500);
    t.false(isBrittle(state, 'desk', START + 10_500));
  });

  it('is none after an answer to a later request that does not say so', (t) => {
    const state = createBrittlenessState('vm-0');
    recordBrittle(state, 'desk', 4, START);
    recordSound(state, 'desk', START - 100);
    t.true(isBrittle(state, 'desk', START));
    recordSound(state, 'desk', START + 1);
    t.false(isBrittle(state, 'desk', START + 1));
  });
});

describe('requests that wait for a slot', () => {
  const wake = () => {};

  it('go in order of priority, then of arrival, of their service', (t) => {
    const state = createBrittlenessState('vm-0');
    const waiters = [
      { serviceId: 'desk', priority: 1, wake },
      { serviceId: 'desk', priority: 0, wake },
      { serviceId: 'other', priority: 0, wake },
      { serviceId: 'desk', priority: 1, wake },
    ];
    waiters.forEach((waiter) => addWaiter(state, waiter));
    const taken = Array.from({ length: 4 }, () => takeWaiter(state, 'desk'));
    t.deepEqual(
      taken.map((waiter) => (waiter === undefined ? -1 : waiters.indexOf(waiter))),
      [1, 0, 3, -1],
    );
  });

  it('wait behind those that are as urgent, at the slots of this VM', (t) => {
    const state = createBrittlenessState('vm-0');
    recordBrittle(state, 'desk', 4, START);
    const endpoints = [endpoint('e1', 2), endpoint('e2', 2)];
    const predict = (priority: number) =>
      predictWaitMs(state, { serviceId: 'desk', priority }, endpoints);
    t.is(predict(1), 50);
    [0, 1, 2].forEach((priority) => addWaiter(state, { serviceId: 'desk', priority, wake }));
    t.is(predict(1), 150);
    t.is(predict(0), 100);
    t.is(predictWaitMs(state, { serviceId: 'desk', priority: 0 }, []), Number.POSITIVE_INFINITY);
  });
});
