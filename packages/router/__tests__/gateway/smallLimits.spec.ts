// Checks of links leave an endpoint's limit to requests where the others stand still.
import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import {
  call,
  createRoute,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
} from './fixtures.js';

const REQUESTS = 4;
const TIME_MS = 8000;

/** Enough for each endpoint to get some. */
const FIRST_REQUESTS = 6;

/** Time in which the endpoint with a limit has credit again. */
const CREDIT_MS = 1000;

/** The first of each round of attempts at the others, and what decides whether these have ended. */
const MAX_CHECKS = 5;

const terms = { attempts: 3, targetMs: 400, timeoutMs: TIME_MS };

const configuration = {
  ...testConfiguration,
  routes: [createRoute({ id: 'safe', prefix: '/safe/', repetition: 'idempotent', ...terms })],
};

/** Endpoints of which one names a limit, and the others stand still once `fallSilent` is called. */
async function startService(perSecond: number) {
  let isSilent = false;
  const arrivals: string[] = [];
  const endpoints = await Promise.all(
    ['e0', 'e1', 'e2'].map((id) => {
      const answer = (kind: string, requestId: string, response: ServerResponse) => {
        if (id === 'e0') arrivals.push(kind);
        else if (isSilent) return;
        const limit = id === 'e0' ? { 'x-limit': String(perSecond) } : {};
        const headers = { 'x-request': requestId, 'x-mac': 'mac', 'x-instance': id, ...limit };
        response.writeHead(200, headers).end('answer');
      };
      return startEndpoint(
        id,
        (request, response) => {
          request.resume();
          answer('request', String(request.headers['x-request']), response);
        },
        (_request, response) => answer('check', '', response),
      );
    }),
  );
  const vm = await startGateway(
    createSource(
      configuration,
      endpoints.map(({ endpoint }) => endpoint),
    ),
  );
  await waitUntil(async () => (await call(vm.ready, '/')).status === 200);
  return {
    arrivals,
    send: (id: string) =>
      call(vm.callers, `/safe/${id}`, {
        headers: { 'x-request': id, 'x-remaining': String(TIME_MS) },
      }),
    fallSilent: () => {
      isSilent = true;
    },
    stop: () => {
      vm.gateway.stop();
      endpoints.forEach((endpoint) => endpoint.close());
    },
  };
}

describe('requests that wait at endpoints which stand still beside one with a limit', () => {
  [1, 2, 50].forEach((perSecond) => {
    itSerial(`get most of what it allows (${perSecond} a second)`, async (t) => {
      const service = await startService(perSecond);
      try {
        for (let sent = 0; sent < FIRST_REQUESTS; sent += 1) await service.send(`first-${sent}`);
        await waitUntil(() => service.arrivals.includes('request'));
        await sleep(CREDIT_MS);
        service.fallSilent();
        service.arrivals.length = 0;
        const ids = Array.from({ length: REQUESTS }, (_, index) => `waiting-${index}`);
        const answers = await Promise.all(ids.map((id) => service.send(id)));
        const served = answers.filter(({ status }) => status === 200);
        t.log(`${served.length} of ${REQUESTS} answered: ${service.arrivals.join(' ')}`);
        t.is(served.length, REQUESTS);
        t.true(service.arrivals.filter((kind) => kind === 'check').length <= MAX_CHECKS);
      } finally {
        service.stop();
      }
    });
  });
});
