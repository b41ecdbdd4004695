import { setTimeout as sleep } from 'node:timers/promises';

import { describe, it } from '@filbertlatch/core/testing';

import { FakePeer, serve } from './fakePeer.js';
import {
  call,
  createSource,
  findFreeAddress,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
  type TestGateway,
} from './fixtures.js';

const DOWN = 11;

const readMetric = async (vm: TestGateway, text: string) => {
  const { body } = await call(vm.control, '/metrics');
  return body.split('\n').some((line) => line.includes(text) && !line.endsWith(' 0'));
};

describe('a VM whose links are sound', () => {
  it('does not believe them lost when all endpoints but one have ended', async (t) => {
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
      t.false(await readMetric(vm, 'change="lost"'));
      t.is(peer.requests.length, 0);
    } finally {
      vm.gateway.stop();
      peer.stop();
      alive.close();
    }
  });
});
