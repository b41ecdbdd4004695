import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';
import { request } from 'undici';

import { createTestRouter } from './createTestRouter.js';
import { createTestTable, API_KEY } from './createTestTable.js';

/** The refused one, and others that come on its connection. */
const REQUESTS = 3;

const REFUSAL_BODY = '{"error":{"message":"full"}}';

const formatRefusal = (status: string) =>
  [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${REFUSAL_BODY.length}`,
    '',
    REFUSAL_BODY,
  ].join('\r\n');

function formatAnswer(id: string): string {
  const choice = { index: 0, delta: { content: ' w0' }, finish_reason: null };
  const event = JSON.stringify({ id, object: 'chat.completion.chunk', choices: [choice] });
  const body = `data: ${event}\n\ndata: [DONE]\n\n`;
  const head = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream';
  return `${head}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

/** Starts an engine that refuses its first request, and writes that once more before its next answer. */
async function startEngine(refusal: string) {
  const runs: string[] = [];
  const sockets = new Set<Socket>();
  let refusals = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    let received = '';
    let copy = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      if (!received.includes('\r\n\r\n') || !received.endsWith('}')) return;
      const id = /^x-request-id: *([^\r]*)/im.exec(received)?.[1] ?? '';
      received = '';
      if (refusals === 0) {
        refusals += 1;
        copy = refusal;
        socket.write(refusal);
        return;
      }
      runs.push(id);
      socket.write(copy + formatAnswer(id));
      copy = '';
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const stop = () => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  };
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, runs, stop };
}

async function ask(callerUrl: string): Promise<{ status: number; body: string }> {
  const response = await request(`${callerUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
      'filbertlatch-repeatable': 'false',
    },
    body: JSON.stringify({
      model: 'desk',
      stream: false,
      messages: [{ role: 'user', content: 'x' }],
    }),
  });
  return { status: response.statusCode, body: await response.body.text() };
}

describe('a refusal that an engine writes once more on a kept connection', () => {
  for (const status of ['503 Service Unavailable', '429 Too Many Requests']) {
    it(`does not make a request run twice (${status})`, async (t) => {
      const engine = await startEngine(formatRefusal(status));
      t.teardown(engine.stop);
      const router = await createTestRouter(t, createTestTable({ engine: engine.url }));
      const answers = [];
      for (let sent = 0; sent < REQUESTS; sent += 1) answers.push(await ask(router.callerUrl));
      t.deepEqual(
        answers.map((answer) => answer.status),
        answers.map(() => 200),
      );
      t.is(engine.runs.length, REQUESTS);
    });
  }
});
