import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { FakePeer, serve } from './fakePeer.js';
import {
  call,
  createSource,
  findFreeAddress,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
} from './fixtures.js';
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
