import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { ActionOf, AttemptEnd, Message } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import type { Exchange, ServiceAnswer } from '../src/callers/exchange.js';
import { Exchanges } from '../src/callers/exchanges.js';
import type { Decider } from '../src/decider/index.js';
import { EndpointTask } from '../src/endpoints/endpointTask.js';

const ATTEMPT_ID = 'attempt-1';
const REQUEST_ID = 'request-1';

/** What the service does after its answer without a length. */
type AfterAnswer = (server: Server, sockets: readonly Socket[]) => void;

function createService(framing: string, status: string, after: AfterAnswer): Server {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', () => {
      const head = `HTTP/1.1 ${status}\r\nx-request-id: ${ATTEMPT_ID}\r\n${framing}\r\n\r\n`;
      socket.end(`${head}${status.startsWith('204') ? '' : 'part'}`, () => after(server, sockets));
    });
  });
  return server.listen(0, '127.0.0.1');
}

interface Outcome {
  readonly end: AttemptEnd;
  readonly answer: ServiceAnswer | null;
}

/** Runs an attempt at a service, and returns how it ended. */
async function runAttempt(
  after: AfterAnswer,
  framing = 'connection: close',
  status = '200 OK',
): Promise<Outcome> {
  const server = createService(framing, status, after);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const posted: Message[] = [];
  const decider = {
    core: { table: { view: null } },
    post: (message: Message) => posted.push(message),
  } as unknown as Decider;
  let answer: ServiceAnswer | null = null;
  const exchanges = new Exchanges();
  exchanges.add({
    request: { id: REQUEST_ID },
    payload: { kind: 'service', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0) },
    restart: () => {},
    finish: () => {},
    writeAnswer: (written: ServiceAnswer) => {
      answer = written;
    },
  } as unknown as Exchange);
  const endpoint = { url, kind: 'service', slots: 1 };
  const action = {
    ...{ attempt: { id: ATTEMPT_ID }, endpoint, silenceTimeoutMs: 3000 },
    request: { id: REQUEST_ID, deadline: Date.now() + 3000 },
  } as unknown as ActionOf<'dispatch'>;
  const task = new EndpointTask(action.endpoint, decider, exchanges, 1_000_000);
  await task.run(action);
  await task.close();
  server.close();
  const ended = posted.find(({ kind }) => kind === 'attempt-ended');
  return { end: (ended as Message & { end: AttemptEnd }).end, answer };
}

const crash: AfterAnswer = (server) => server.close();

describe('an answer of a plain service without a length and chunks', () => {
  it('is not complete when the service ends with it', async (t) => {
    const { end, answer } = await runAttempt(crash);
    t.is(answer, null);
    t.like(end, { kind: 'failed', cause: 'reset', verdict: 'may-have-run' });
  });

  it('is not complete when the port is closed a moment after it', async (t) => {
    const { end, answer } = await runAttempt((server, sockets) => {
      void sleep(20).then(() => {
        server.close();
        sockets.forEach((socket) => socket.destroy());
      });
    });
    t.is(answer, null);
    t.is(end.kind, 'failed');
  });

  it('is complete when the service resets further connections', async (t) => {
    const { end } = await runAttempt((server) => {
      server.on('connection', (socket: Socket) => socket.resetAndDestroy());
    });
    t.is(end.kind, 'complete');
  });

  it('is complete when the service outlives it', async (t) => {
    const { end, answer } = await runAttempt(() => {});
    t.is(end.kind, 'complete');
    t.is(answer?.body.toString(), 'part');
  });
});

describe('an answer of a plain service whose end is known', () => {
  it('is complete when the service ends with it', async (t) => {
    t.is((await runAttempt(crash, 'content-length: 4')).end.kind, 'complete');
    t.is((await runAttempt(crash, 'connection: close', '204 No Content')).end.kind, 'complete');
  });
});
