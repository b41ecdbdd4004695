import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { findFreeAddress } from '../../src/testing/index.js';
import { FakePeer, serve } from './fakePeer.js';
import {
  call,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
  type TestGateway,
} from './fixtures.js';
import { SilentEndpoint } from './silentEndpoint.js';
import { blockLoop } from './threadedEndpoint.js';
import { readMetric, withThreadedEndpoints } from './threadedVm.js';

const DOWN = 11;

describe('a VM whose links are sound', () => {
  itSerial('does not believe them lost when all endpoints but one have ended', async (t) => {
    const alive = await startEndpoint('alive', (request, response) => {
      const id = String(request.headers['x-request']);
      response.writeHead(200, { 'x-request': id, 'x-mac': 'mac', connection: 'close' });
      response.end('answer');
    });
    const addresses = await Promise.all(Array.from({ length: DOWN }, () => findFreeAddress()));
    const down = addresses.map((address, index) => ({
      ...alive.endpoint,
      id: `down-${index}`,
      address,
    }));
    const vm = await startGateway(createSource(testConfiguration, [...down, alive.endpoint]));
    const peer = new FakePeer('peer', serve);
    try {
      await peer.start(vm.control);
      await waitUntil(async () => (await call(vm.ready, '/')).status === 200);
      for (let sent = 0; sent < 60; sent += 1) {
        await call(vm.callers, '/safe/', { headers: { 'x-request': `request-${sent}` } });
        await sleep(5);
      }
      t.is(await readMetric(vm, 'change="lost"'), 0);
      t.is(peer.requests.length, 0);
    } finally {
      vm.gateway.stop();
      peer.stop();
      alive.close();
    }
  });

  itSerial('does not check them for a silence in which its process stood still', (t) =>
    withThreadedEndpoints([{ answerDelayMs: 1500 }, { answerDelayMs: 1500 }], async (vm) => {
      const calls = Array.from({ length: 4 }, (_, index) =>
        call(vm.callers, '/plain/', { headers: { 'x-request': `request-${index}` } }),
      );
      await sleep(200);
      blockLoop(1000);
      await Promise.all(calls);
      t.is(await readMetric(vm, 'link_checks_total'), 0);
    }),
  );

  itSerial('does not believe them lost when its process is late', async (t) => {
    const endpoints = await Promise.all(
      Array.from({ length: 4 }, (_, index) =>
        startEndpoint(
          `e${index}`,
          (request, response) => {
            request.resume();
            const id = String(request.headers['x-request']);
            setTimeout(() => {
              response.writeHead(200, { 'x-request': id, 'x-mac': 'mac' }).end('answer');
            }, 1500);
          },
          (_request, response) => {
            setTimeout(() => response.writeHead(200, { 'x-instance': `e${index}` }).end(), 100);
          },
        ),
      ),
    );
    const source = createSource(
      testConfiguration,
      endpoints.map(({ endpoint }) => endpoint),
    );
    const vm = await startGateway(source);
    const peer = new FakePeer('peer', serve);
    try {
      await peer.start(vm.control);
      await waitUntil(async () => (await call(vm.ready, '/')).status === 200);
      const calls = Array.from({ length: 8 }, (_, index) =>
        call(vm.callers, '/plain/', { headers: { 'x-request': `request-${index}` } }),
      );
      for (let blocks = 0; blocks < 8; blocks += 1) {
        await sleep(20);
        blockLoop(300);
      }
      await Promise.all(calls);
      t.is(await readMetric(vm, 'change="lost"'), 0);
    } finally {
      vm.gateway.stop();
      peer.stop();
      endpoints.forEach((endpoint) => endpoint.close());
    }
  });
});

describe('a VM that lost a service', () => {
  itSerial('checks its endpoints again and again, though it was in touch before', async (t) => {
    const endpoints = await Promise.all(
      ['e0', 'e1'].map((id) =>
        startEndpoint(id, (request, response) => {
          const requestId = String(request.headers['x-request']);
          response.writeHead(200, { 'x-request': requestId, 'x-mac': 'mac' }).end('answer');
        }),
      ),
    );
    const listed = endpoints.map(({ endpoint }) => endpoint);
    const vm = await startGateway(createSource(testConfiguration, listed));
    try {
      await waitUntil(async () => (await call(vm.ready, '/')).status === 200);
      t.is((await call(vm.callers, '/safe/')).status, 200);
      endpoints.forEach((endpoint) => endpoint.close());
      await waitUntil(async () => {
        await call(vm.callers, '/safe/');
        return (await readMetric(vm, 'change="lost"')) > 0;
      });
      const before = await readMetric(vm, 'link_checks_total');
      await sleep(2000);
      const checks = (await readMetric(vm, 'link_checks_total')) - before;
      t.true(checks >= 6, `${checks} checks`);
    } finally {
      vm.gateway.stop();
      endpoints.forEach((endpoint) => endpoint.close());
    }
  });
});

describe('a VM whose endpoints open connections and do not answer', () => {
  /** Silences the endpoints; a peer tells of contact that is `ageMs` old, given the silence's length. */
  const play = async (
    ageMs: (silentMs: number) => number,
    use: (vm: TestGateway, peer: FakePeer, silentAt: number) => Promise<void>,
  ) => {
    const endpoints = Array.from({ length: 6 }, () => new SilentEndpoint());
    await Promise.all(endpoints.map((endpoint, index) => endpoint.start(`e${index}`)));
    const listed = endpoints.map(({ endpoint }) => endpoint.endpoint);
    const vm = await startGateway(createSource(testConfiguration, listed));
    const peer = new FakePeer('peer', serve);
    try {
      await peer.start(vm.control);
      await waitUntil(async () => (await call(vm.ready, '/')).status === 200);
      await call(vm.callers, '/safe/');
      endpoints.forEach((endpoint) => endpoint.silence());
      const silentAt = performance.now();
      peer.contactAgeMs = () => ageMs(performance.now() - silentAt);
      const calls = Array.from({ length: 6 }, (_, index) =>
        call(vm.callers, '/safe/', { headers: { 'x-request': `request-${index}` } }),
      );
      const ended = Promise.allSettled(calls);
      await use(vm, peer, silentAt);
      endpoints.forEach((endpoint) => endpoint.goOn());
      await ended;
    } finally {
      vm.gateway.stop();
      peer.stop();
      endpoints.forEach(({ endpoint }) => endpoint.close());
    }
  };

  const oldContacts: Readonly<Record<string, (silentMs: number) => number>> = {
    'from before the silence': (silentMs) => silentMs + 50,
    'as old as the silence': (silentMs) => silentMs,
  };
  Object.entries(oldContacts).forEach(([title, ageMs]) => {
    itSerial(`believes its links sound while peers tell of contact ${title}`, async (t) => {
      await play(ageMs, async (vm, peer) => {
        await sleep(3000);
        t.is(await readMetric(vm, 'change="lost"'), 0);
        t.is(await readMetric(vm, 'change="silent"'), 1);
        t.is(peer.requests.length, 0);
      });
    });
  });

  // With older news it takes its age longer.
  const lateness = { 10: 1300, 500: 1300 + 500 };
  Object.entries(lateness).forEach(([ageMs, foundWithinMs]) => {
    itSerial(`finds its links lost when a peer has heard them ${ageMs} ms ago`, async (t) => {
      await play(
        () => Number(ageMs),
        async (vm, _peer, silentAt) => {
          await waitUntil(async () => (await readMetric(vm, 'change="lost"')) > 0);
          const foundMs = Math.round(performance.now() - silentAt);
          t.log(`${foundMs} ms`);
          t.true(foundMs <= foundWithinMs, `${foundMs} ms`);
        },
      );
    });
  });
});
