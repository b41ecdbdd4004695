import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import {
  call,
  createRoute,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
} from './fixtures.js';

const configuration = {
  ...testConfiguration,
  routes: testConfiguration.routes.map((route) =>
    route.id === 'safe'
      ? createRoute({ ...route, attempts: 3, targetMs: 400, timeoutMs: 8000 })
      : route,
  ),
};

describe('an endpoint that ends without a sign on a quiet service', () => {
  itSerial('is found by checks of the others', async (t) => {
    let endedId: string | null = null;
    const endpoints = await Promise.all(
      ['e0', 'e1', 'e2'].map((id) =>
        startEndpoint(
          id,
          (request, response) => {
            request.resume();
            endedId ??= id;
            if (endedId === id) return;
            response.writeHead(200, {
              'x-request': String(request.headers['x-request']),
              'x-mac': 'mac',
            });
            response.end('answer');
          },
          (_request, response) => {
            if (endedId === id) return;
            response.setHeader('x-instance', id);
            response.end();
          },
        ),
      ),
    );
    const vm = await startGateway(
      createSource(
        configuration,
        endpoints.map(({ endpoint }) => endpoint),
      ),
    );
    await sleep(300);
    const startedAt = performance.now();
    const { status } = await call(vm.callers, '/plain/', {
      method: 'POST',
      headers: { 'x-request': 's', 'x-remaining': '1200' },
    });
    let foundAfterMs: number | null = null;
    while (foundAfterMs === null && performance.now() < startedAt + 9000) {
      await sleep(200);
      const { body } = await call(vm.control, '/metrics');
      const crashes = body.split('\n').filter((line) => /known_crashes [1-9]/.test(line));
      if (crashes.length > 0) {
        foundAfterMs = Math.round(performance.now() - startedAt);
        t.log(crashes);
      }
    }
    t.log({ status, foundAfterMs, endedId });
    vm.gateway.stop();
    endpoints.forEach((endpoint) => endpoint.close());
    t.not(foundAfterMs, null);
  });
});
