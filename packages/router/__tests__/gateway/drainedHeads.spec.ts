import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, it } from '@filbertlatch/core/testing';

import {
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  testDialect,
} from './fixtures.js';

const CLOSING_MS = 2800;

const GRACE_S = 7;

/** Ends before the time-out of a head. */
const SHORT_GRACE_S = 5;

const HEAD =
  'POST /plain/ HTTP/1.1\r\nHost: desk.example\r\nX-Key: right-key\r\nX-Request: r\r\nX-Remaining: 9000\r\n';
const REST = 'Content-Length: 1\r\n\r\nx';

describe('a drain that closes connections', () => {
  it('answers a request whose head is being read', async (t) => {
    const endpoint = await startEndpoint('e0', (request, response) => {
      request.resume();
      response.writeHead(200, { 'x-request': 'r', 'x-mac': 'mac' }).end('answer');
    });
    const source = createSource(testConfiguration, [endpoint.endpoint]);
    const vm = await startGateway(source, testDialect, GRACE_S);
    t.teardown(() => {
      vm.gateway.stop();
      endpoint.close();
    });
    const [host, port] = vm.callers.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
    await once(socket, 'connect');
    let received = '';
    let isClosed = false;
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
    });
    const handleEnd = () => {
      isClosed = true;
    };
    socket.on('end', handleEnd);
    socket.on('error', handleEnd);
    let isDrained = false;
    const drained = vm.gateway.drain().then(() => {
      isDrained = true;
    });
    await sleep(CLOSING_MS - 200);
    socket.write(HEAD);
    await sleep(500);
    t.false(isClosed, 'closed while a head is being read');
    t.false(isDrained, 'the drain ended');
    socket.write(REST);
    await sleep(400);
    t.regex(received, /^HTTP\/1\.1 503 /);
    socket.destroy();
    await drained;
  });

  it('ends in time while a head stays half read', async (t) => {
    const source = createSource(testConfiguration, []);
    const vm = await startGateway(source, testDialect, SHORT_GRACE_S);
    t.teardown(() => vm.gateway.stop());
    const [host, port] = vm.callers.split(':');
    const socket = connect({ host, port: Number(port) });
    await once(socket, 'connect');
    t.teardown(() => socket.destroy());
    socket.resume();
    const beganAt = performance.now();
    const drained = vm.gateway.drain();
    await sleep(CLOSING_MS);
    socket.write(HEAD);
    const closed = once(socket, 'end');
    await drained;
    await closed;
    const tookMs = performance.now() - beganAt;
    t.log({ tookMs });
    t.true(tookMs < SHORT_GRACE_S * 1000);
  });
});
