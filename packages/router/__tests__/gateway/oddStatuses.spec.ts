// A status that no answer can have must not reach a caller, and its request must not wait for its deadline.
import type { RequestListener } from 'node:http';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { playEarlyAnswer } from './earlyAnswer.js';
import {
  call,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  type CallerAnswer,
} from './fixtures.js';

const PATHS = ['/plain/', '/safe/', '/stream/', '/resumed/'];
const STATUSES = ['000', '042', '099', '600', '799', '999'];
const MAX_TIME_MS = 1500;

describe('an answer with a status outside of 100 to 599', () => {
  [false, true].forEach((isByPeer) => {
    STATUSES.forEach((status) => {
      PATHS.forEach((path) => {
        const way = isByPeer ? ', by way of a peer' : '';
        itSerial(`is a failure of its endpoint${way}: ${status} on ${path}`, async (t) => {
          const early = { status: `${status} Odd`, readsBytes: 0, end: 'end', holdMs: 0 } as const;
          const startedAt = performance.now();
          const { answer, runs } = await playEarlyAnswer(early, path, 10, isByPeer);
          const tookMs = performance.now() - startedAt;
          t.log(JSON.stringify({ status: answer?.status, runs, tookMs: Math.round(tookMs) }));
          t.true([502, 503].includes(answer?.status ?? 0));
          if (path === '/plain/' || path === '/stream/') t.true(runs <= 1);
          t.true(tookMs < MAX_TIME_MS);
        });
      });
    });
  });
});

const EVENTS = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n';
const REST = 'id: 3\ndata: 3\n\n';

/** Breaks off a stream after two events, and answers the attempt to go on with a status. */
async function resumeStream(statusLine: string): Promise<CallerAnswer | null> {
  const answer: RequestListener = ({ headers }, { socket }) => {
    const id = String(headers['x-request']);
    const isResumed = headers['x-after'] !== undefined;
    const head = `HTTP/1.1 ${isResumed ? statusLine : '200 OK'}\r\nx-request: ${id}\r\nx-mac: mac\r\ncontent-type: text/event-stream\r\n`;
    if (isResumed) socket?.end(`${head}content-length: ${REST.length}\r\n\r\n${REST}`);
    else {
      socket?.write(`${head}\r\n${EVENTS}`, () => setTimeout(() => socket.resetAndDestroy(), 50));
    }
  };
  const endpoints = await Promise.all(['e0', 'e1'].map((id) => startEndpoint(id, answer)));
  const listed = endpoints.map(({ endpoint }) => endpoint);
  const { gateway, callers } = await startGateway(createSource(testConfiguration, listed));
  const options = { method: 'POST', headers: { 'x-remaining': '1500' } };
  const received = await call(callers, '/resumed/', options).catch(() => null);
  gateway.stop();
  endpoints.forEach((endpoint) => endpoint.close());
  return received;
}

describe('a stream whose rest has another status', () => {
  ['000 Odd', '099 Odd', '600 Odd', '999 Odd', '206 Partial Content', '404 Not Found'].forEach(
    (statusLine) => {
      itSerial(`is not complete, and nothing is added to it: ${statusLine}`, async (t) => {
        const { status, isComplete, body } = (await resumeStream(statusLine)) ?? {};
        t.log(JSON.stringify({ status, isComplete, body }));
        t.false(status === 200 && isComplete);
        t.is(body, EVENTS);
      });
    },
  );

  itSerial('is complete with 200', async (t) => {
    const { status, isComplete, body } = (await resumeStream('200 OK')) ?? {};
    t.is(status, 200);
    t.true(isComplete);
    t.is(body, EVENTS + REST);
  });
});
