import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, it } from '@filbertlatch/core/testing';
import { requestSchema } from '@filbertlatch/router';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

import { createTestRouter, TEST_OPERATOR_TOKEN, waitUntil } from './createTestRouter.js';
import { createTestTable, API_KEY } from './createTestTable.js';

const BYTES_PER_EVENT = 65_536;
const ENDLESS_STREAM_BYTES = 512 * 1024 * 1024;
const LONG_STREAM_BYTES = 32 * 1024 * 1024;

// Longer than the silence allowed to an endpoint under the latency target of the test's table.
const CALLER_PAUSE_MS = 2500;

// Four kernel socket buffers, each up to some megabytes, and the router's own buffers.
const MAX_READ_BYTES = 64 * 1024 * 1024;

interface FloodingEngine {
  readonly url: string;
  /** Bytes that the router or the kernel has accepted. */
  taken: number;
  closed: boolean;
}

/** Starts an engine that writes a stream of the given size as fast as it is read. */
async function createFloodingEngine(
  t: ExecutionContext,
  offeredBytes: number,
): Promise<FloodingEngine> {
  const flood = { url: '', taken: 0, closed: false };
  const server: Server = createServer((incoming, response) => {
    if (incoming.method !== 'POST') {
      response.writeHead(404).end();
      return;
    }
    const id = incoming.headers['x-request-id'];
    const content = 'x'.repeat(BYTES_PER_EVENT);
    const event = `data: ${JSON.stringify({ id, choices: [{ index: 0, delta: { content } }] })}\n\n`;
    const send = () => {
      if (flood.closed) return;
      if (flood.taken >= offeredBytes) {
        response.end('data: [DONE]\n\n');
        return;
      }
      response.write(event, (error) => {
        // On a closed connection the callback gets an error and nothing was written.
        if (error) return;
        flood.taken += event.length;
        send();
      });
    };
    response.on('close', () => {
      flood.closed = true;
    });
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    incoming.resume().on('end', send);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return Object.assign(flood, { url: `http://127.0.0.1:${port}` });
}

function sendWithoutReading(t: ExecutionContext, callerUrl: string): Socket {
  const body = JSON.stringify({ model: 'desk', stream: true, messages: [{ role: 'user' }] });
  const socket = connect(Number(new URL(callerUrl).port), '127.0.0.1');
  const head = [
    'POST /v1/chat/completions HTTP/1.1',
    'Host: test',
    `Authorization: Bearer ${API_KEY}`,
  ];
  head.push('Content-Type: application/json', `Content-Length: ${body.length}`, '', body);
  socket.write(head.join('\r\n'));
  socket.pause();
  socket.on('error', () => {});
  t.teardown(() => socket.destroy());
  return socket;
}

async function waitUntilReadingStops(flood: FloodingEngine): Promise<void> {
  let before = -1;
  await waitUntil(async () => {
    before = flood.taken;
    await sleep(200);
    return before > 0 && flood.taken === before;
  });
}

async function readRequestId(socket: Socket): Promise<string> {
  const [bytes] = (await once(socket.resume(), 'data')) as [Buffer];
  return bytes.toString().match(/x-request-id: (\S+)/i)![1]!;
}

/** Returns how the attempts of a request ended, which shows whether the engine was blamed. */
async function readAttemptEnds(adminUrl: string, id: string) {
  const headers = { authorization: `Bearer ${TEST_OPERATOR_TOKEN}` };
  const { body } = await request(`${adminUrl}/admin/requests/${id}`, { headers });
  const { steps } = requestSchema.parse(await body.json());
  return steps
    .filter((step) => step.kind === 'attempt-ended')
    .map(({ end, cause }) => ({ end, cause }));
}

describe('a caller that does not read', () => {
  it('makes the router stop reading from the engine, and is cut off after the stall limit', async (t) => {
    const flood = await createFloodingEngine(t, ENDLESS_STREAM_BYTES);
    const table = createTestTable({ engine: flood.url });
    const router = await createTestRouter(t, table, { callers: { stallSeconds: 3 } });
    const socket = sendWithoutReading(t, router.callerUrl);
    await waitUntilReadingStops(flood);
    t.true(flood.taken < MAX_READ_BYTES, `${flood.taken} bytes were read`);
    t.log(`${flood.taken} of ${ENDLESS_STREAM_BYTES} bytes read`);
    await waitUntil(() => flood.closed);
    await waitUntil(() => router.state().openRequests === 0);
    const { counters } = router.state();
    t.is(counters.requests_abandoned, 1);
    t.deepEqual(await readAttemptEnds(router.adminUrl, await readRequestId(socket)), [
      { end: 'cancelled', cause: null },
    ]);
  });

  it('gets its whole answer when it reads again, and its engine is not taken for silent', async (t) => {
    const flood = await createFloodingEngine(t, LONG_STREAM_BYTES);
    const table = createTestTable({ engine: flood.url });
    const router = await createTestRouter(t, table, { callers: { stallSeconds: 60 } });
    const socket = sendWithoutReading(t, router.callerUrl);
    await waitUntilReadingStops(flood);
    await sleep(CALLER_PAUSE_MS);
    let tail = '';
    socket.on('data', (bytes: Buffer) => {
      tail = (tail + bytes.toString('latin1')).slice(-100);
    });
    socket.resume();
    await waitUntil(() => router.state().openRequests === 0);
    const { counters } = router.state();
    t.is(counters.requests_complete, 1, JSON.stringify(counters));
    t.is(counters.attempts, 1);
    await waitUntil(() => tail.includes('data: [DONE]'));
  });
});
