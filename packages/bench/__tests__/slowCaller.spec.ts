import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, it } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import { createTestRouter, waitUntil } from './createTestRouter.js';
import { createTestTable, KEY } from './createTestTable.js';

const BYTES_PER_EVENT = 65_536;
const OFFERED_BYTES = 512 * 1024 * 1024;

// Four socket buffers of the kernel, each up to some megabytes, and the router's own.
const MOST_TAKEN_BYTES = 64 * 1024 * 1024;

interface Flood {
  readonly url: string;
  /** Bytes that the router's side has taken. */
  taken: number;
  closed: boolean;
}

/** An engine that writes as fast as it is read. */
async function createFlood(t: ExecutionContext): Promise<Flood> {
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
      if (flood.closed || flood.taken >= OFFERED_BYTES) return;
      response.write(event, (error) => {
        // A closed connection takes nothing, though it calls back at once.
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

function askWithoutReading(t: ExecutionContext, callerUrl: string): Socket {
  const body = JSON.stringify({ model: 'desk', stream: true, messages: [{ role: 'user' }] });
  const socket = connect(Number(new URL(callerUrl).port), '127.0.0.1');
  const head = ['POST /v1/chat/completions HTTP/1.1', 'Host: test', `Authorization: Bearer ${KEY}`];
  head.push('Content-Type: application/json', `Content-Length: ${body.length}`, '', body);
  socket.write(head.join('\r\n'));
  socket.pause();
  socket.on('error', () => {});
  t.teardown(() => socket.destroy());
  return socket;
}

async function waitUntilStill(flood: Flood): Promise<void> {
  let before = -1;
  await waitUntil(async () => {
    before = flood.taken;
    await sleep(200);
    return before > 0 && flood.taken === before;
  });
}

describe('a caller that does not read', () => {
  it('stops the reading of its engine and is cut off in the end', async (t) => {
    const flood = await createFlood(t);
    const table = createTestTable({ engine: flood.url });
    const router = await createTestRouter(t, table, { callers: { stallSeconds: 3 } });
    askWithoutReading(t, router.callerUrl);
    await waitUntilStill(flood);
    t.true(flood.taken < MOST_TAKEN_BYTES, `${flood.taken} bytes were taken`);
    t.log(`${flood.taken} of ${OFFERED_BYTES} bytes taken`);
    await waitUntil(() => flood.closed);
    await waitUntil(() => router.state().openRequests === 0);
    const { counters } = router.state();
    t.is(counters.requests_abandoned, 1);
    t.is(counters.ejections, undefined, 'the engine is not to blame');
  });
});
