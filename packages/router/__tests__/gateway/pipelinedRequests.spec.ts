import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { startMeasured } from '../../src/testing/index.js';
import {
  call,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
} from './fixtures.js';

/** Memory of a VM, with an endpoint and the modules of specs in its process. */
const MAX_BYTES = 150 * 1_048_576;

const MIN_SERVED = 0.99;
const PIPELINES = 10;
const REQUESTS = 2000;
const BLOCK_REQUESTS = 500;

const player = new URL('pipelinedVm.js', import.meta.url);

type Address = 'callers' | 'control' | 'ready';

/** Requests of a pipeline, by their numbers. */
type Formatter = (index: number) => string;

const usual: Formatter = (index) =>
  [
    'GET /safe/1 HTTP/1.1',
    'host: desk.example',
    'x-key: right-key',
    `x-request: r-${index}`,
    '',
    '',
  ].join('\r\n');

const formatters: Readonly<Record<string, Formatter>> = {
  usual,
  short: () => 'GET / HTTP/1.1\r\nhost:a\r\n\r\n',
};

/** Sends requests without waiting for answers, for as long as its connection takes them. */
function sendPipeline(address: string, format: Formatter, requests: number): Socket {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => {});
  let sent = 0;
  const writeOn = () => {
    let isTaken = true;
    while (isTaken && sent < requests && !socket.destroyed) {
      const first = sent;
      sent += Math.min(BLOCK_REQUESTS, requests - sent);
      const numbers = Array.from({ length: sent - first }, (_, index) => first + index);
      isTaken = socket.write(numbers.map(format).join(''));
    }
  };
  socket.on('drain', writeOn);
  writeOn();
  return socket;
}

async function sendOthers(address: string, isOver: () => boolean) {
  let sent = 0;
  let served = 0;
  let longestMs = 0;
  while (!isOver()) {
    sent += 1;
    const headers = { 'x-request': `other-${sent}` };
    const sentAt = performance.now();
    const answer = await call(address, '/safe/2', { headers }).catch(() => null);
    if (answer?.status === 200 && answer.body === headers['x-request']) {
      served += 1;
      longestMs = Math.max(longestMs, performance.now() - sentAt);
    }
    await sleep(5);
  }
  return { sent, served, longestMs };
}

describe('requests that are sent one after the other without waiting', () => {
  for (const to of ['callers', 'control', 'ready'] as const) {
    Object.entries(formatters).forEach(([kind, format]) => {
      for (const isReading of [true, false]) {
        const title = isReading ? 'with' : 'without';
        itSerial(`${title} reading, ${kind} ones to ${to}, cost little memory`, async (t) => {
          const play = startMeasured<null, Record<Address, string>>(player);
          const addresses = await play.news;
          let isOver = false;
          const others = sendOthers(addresses.callers, () => isOver);
          const requests = isReading ? REQUESTS : Number.POSITIVE_INFINITY;
          const sockets = Array.from({ length: PIPELINES }, () => {
            const socket = sendPipeline(addresses[to], format, requests);
            return isReading ? socket.resume() : socket;
          });
          const probe = await play.probe;
          isOver = true;
          const { sent, served, longestMs } = await others;
          sockets.forEach((socket) => socket.destroy());
          const text = JSON.stringify({ ...probe, sent, served, longestMs });
          t.log(text);
          t.is(probe.end, null, text);
          t.true(probe.maxBytes <= MAX_BYTES, text);
          // The last may be open at the end of the play.
          t.true(served > 0 && served >= MIN_SERVED * (sent - 1), text);
        });
      }
    });
  }

  itSerial('are all answered by a VM that drains', async (t) => {
    const slow = await startEndpoint('slow', (request, response) => {
      setTimeout(() => {
        response.writeHead(200, { 'x-request': request.headers['x-request'], 'x-mac': 'mac' });
        response.end();
      }, 600);
    });
    const { callers, gateway } = await startGateway(
      createSource(testConfiguration, [slow.endpoint]),
    );
    const socket = sendPipeline(callers, usual, 10);
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    await waitUntil(() => slow.requests.length > 0);
    await gateway.drain();
    slow.close();
    const statuses = [...text.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => status);
    t.is(statuses.length, 10, statuses.join());
    t.is(statuses.filter((status) => status === '200').length, slow.requests.length);
  });

  itSerial('are answered in their order', async (t) => {
    const play = startMeasured<null, Record<Address, string>>(player);
    const { callers } = await play.news;
    const socket = sendPipeline(callers, usual, 100);
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    await Promise.race([once(socket, 'close'), play.probe]);
    socket.destroy();
    const answered = [...text.matchAll(/x-request: r-(\d+)/g)].map(([, index]) => Number(index));
    t.deepEqual(
      answered,
      answered.map((_, index) => index),
    );
    t.is(answered.length, 100);
  });
});

describe('a request that waits for the answer to the one before it', () => {
  itSerial('has no more time left at its endpoint than its caller', async (t) => {
    const workMs = 600;
    const endpoint = await startEndpoint('e0', (request, response) => {
      const headers = { 'x-request': request.headers['x-request'], 'x-mac': 'mac' };
      setTimeout(() => response.writeHead(200, headers).end('answer'), workMs);
    });
    const source = createSource(testConfiguration, [endpoint.endpoint]);
    const { callers, gateway } = await startGateway(source);
    const socket = sendPipeline(callers, usual, 2).resume();
    await waitUntil(() => endpoint.requests.length === 2);
    const [first, second] = endpoint.requests.map(({ headers }) => Number(headers['x-remaining']));
    t.true(first! - second! >= workMs, `${first} and ${second} ms`);
    socket.destroy();
    gateway.stop();
    endpoint.close();
  });
});
