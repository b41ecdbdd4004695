import { once } from 'node:events';
import { connect } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { splitAddress } from '../../src/gateway/address.js';
import {
  call,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
  type TestEndpoint,
  type TestGateway,
} from './fixtures.js';

const ANSWER = { 'x-mac': 'mac', 'content-length': '6' };

/** Runs a test with a gateway before one endpoint, whose answers are written by the test. */
async function withGateway(
  answer: Parameters<typeof startEndpoint>[1],
  run: (vm: TestGateway, endpoint: TestEndpoint) => Promise<void>,
): Promise<void> {
  const endpoint = await startEndpoint('e-1', answer);
  const services = new Map(
    [...testConfiguration.services].map(([id, service]) => [id, { ...service, maxConnections: 4 }]),
  );
  const configuration = { ...testConfiguration, services };
  const vm = await startGateway(createSource(configuration, [endpoint.endpoint]));
  try {
    await waitUntil(async () => (await call(vm.ready, '/')).status === 200);
    await run(vm, endpoint);
  } finally {
    vm.gateway.stop();
    endpoint.close();
  }
}

describe('a request', () => {
  itSerial('on a connection that was idle before it is not taken to be as old', (t) =>
    withGateway(
      (request, response) => {
        const id = String(request.headers['x-request']);
        response.writeHead(200, { ...ANSWER, 'x-request': id }).end('answer');
      },
      async (vm, endpoint) => {
        const socket = connect(splitAddress(vm.callers));
        await once(socket, 'connect');
        await sleep(1500);
        const lines = ['GET /open/ HTTP/1.1', 'Host: desk.example', 'x-request: r-1'];
        lines.push('x-remaining: 2000', 'Connection: close', '', '');
        socket.write(lines.join('\r\n'));
        t.regex(await text(socket), /^HTTP\/1\.1 200 /);
        t.true(Number(endpoint.requests[0]!.headers['x-remaining']) > 1000);
      },
    ),
  );

  itSerial('that waits for a connection until its deadline is not said to have run', (t) =>
    withGateway(
      () => {
        // Leaves all requests open.
      },
      async (vm, endpoint) => {
        const send = (index: number, remainingMs: number) =>
          call(vm.callers, '/open/', {
            headers: { 'x-request': `r-${index}`, 'x-remaining': String(remainingMs) },
          });
        const open = Array.from({ length: 4 }, (_, index) => send(index, 1500));
        await waitUntil(() => Promise.resolve(endpoint.requests.length === 4));
        t.is((await send(4, 500)).status, 503);
        t.is(endpoint.requests.length, 4);
        await Promise.all(open);
      },
    ),
  );
});
