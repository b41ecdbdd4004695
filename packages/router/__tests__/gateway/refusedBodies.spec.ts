import { request as sendRequest, type ClientRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import {
  call,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
} from './fixtures.js';

const BODY_BYTES = 4_194_304;

/** Room for one large body. */
const MEMORY_LIMIT_BYTES = 6_000_000;

const configuration = {
  ...testConfiguration,
  limits: { ...testConfiguration.limits, maxBodyBytes: BODY_BYTES },
};

interface Sent {
  readonly outgoing: ClientRequest;
  readonly answered: Promise<{ status: number; body: string; retryAfter: number }>;
  /** Events in order. */
  readonly events: string[];
}

async function startFleet(t: ExecutionContext) {
  const endpoint = await startEndpoint('e0', (request, response) => {
    let bytes = 0;
    request.on('data', ({ length }: Buffer) => {
      bytes += length;
    });
    request.on('end', () => {
      response.writeHead(200, { 'x-request': request.headers['x-request'], 'x-mac': 'mac' });
      response.end(String(bytes));
    });
  });
  const source = createSource(configuration, [endpoint.endpoint]);
  const { callers, gateway } = await startGateway(source, undefined, 3.5, MEMORY_LIMIT_BYTES);
  const opened: ClientRequest[] = [];
  t.teardown(() => {
    opened.forEach((outgoing) => outgoing.destroy());
    gateway.stop();
    endpoint.close();
  });
  await waitUntil(
    async () => (await call(callers, '/plain/warm', { method: 'POST' })).status === 200,
  );
  const [host, port] = callers.split(':');
  /** Sends the head of a request with a large body. */
  const open = (id: string, headers: Record<string, string> = {}, path = '/plain/1'): Sent => {
    const events: string[] = [];
    const outgoing = sendRequest({
      ...{ host, port, path, method: 'POST', agent: false },
      headers: {
        ...{ host: 'desk.example', 'x-key': 'right-key', 'x-request': id },
        ...('transfer-encoding' in headers ? {} : { 'content-length': String(BODY_BYTES) }),
        ...headers,
      },
    });
    opened.push(outgoing);
    outgoing.flushHeaders();
    outgoing.on('continue', () => events.push('continue'));
    const answered = new Promise<{ status: number; body: string; retryAfter: number }>(
      (resolve) => {
        outgoing.on('error', () => resolve({ status: 0, body: '', retryAfter: 0 }));
        outgoing.on('response', (response) => {
          let body = '';
          response.on('data', (chunk: Buffer) => {
            body += chunk.toString();
          });
          response.on('close', () => {
            events.push('answer');
            const retryAfter = Number(response.headers['retry-after']);
            resolve({ status: response.statusCode ?? 0, body, retryAfter });
          });
        });
      },
    );
    return { outgoing, answered, events };
  };
  const hold = async () => {
    const held = open('holder');
    held.outgoing.write(Buffer.alloc(BODY_BYTES - 1));
    await waitUntil(() => gateway.state().memory.byKind.request >= BODY_BYTES);
    return held;
  };
  const isSent = (id: string) =>
    endpoint.requests.some(({ headers }) => headers['x-request'] === id);
  return { callers, gateway, hold, isSent, open };
}

describe('a large body without room', () => {
  itSerial('is refused with a true answer that is not lost, and small ones go on', async (t) => {
    const { callers, gateway, hold, isSent, open } = await startFleet(t);
    const holder = await hold();
    const refused = open('refused');
    refused.outgoing.end(Buffer.alloc(BODY_BYTES));
    const small = await call(callers, '/plain/2', { method: 'POST', body: 'small' });
    t.deepEqual([small.status, small.body], [200, '5']);
    const answer = await refused.answered;
    t.is(answer.status, 503);
    t.regex(answer.body, /memory_short/);
    t.true(answer.retryAfter > 0);
    t.false(isSent('refused'));
    holder.outgoing.end(Buffer.alloc(1));
    t.like(await holder.answered, { status: 200, body: String(BODY_BYTES) });
    await waitUntil(() => gateway.state().memory.heldBytes === 0);
    const next = open('next');
    next.outgoing.end(Buffer.alloc(BODY_BYTES));
    t.like(await next.answered, { status: 200, body: String(BODY_BYTES) });
  });

  itSerial('is not asked for before there is room', async (t) => {
    const { hold, open } = await startFleet(t);
    const holder = await hold();
    const waiting = open('waiting', { expect: '100-continue' });
    waiting.outgoing.on('continue', () => waiting.outgoing.end(Buffer.alloc(BODY_BYTES)));
    await sleep(300);
    t.deepEqual(waiting.events, []);
    holder.outgoing.end(Buffer.alloc(1));
    t.like(await waiting.answered, { status: 200, body: String(BODY_BYTES) });
    t.deepEqual(waiting.events, ['continue', 'answer']);
  });

  itSerial('takes the place of one that gets no further byte', async (t) => {
    const { hold, isSent, open } = await startFleet(t);
    const holder = await hold();
    await sleep(1800);
    const next = open('next');
    next.outgoing.end(Buffer.alloc(BODY_BYTES));
    t.like(await next.answered, { status: 200, body: String(BODY_BYTES) });
    t.is((await holder.answered).status, 408);
    t.false(isSent('holder'));
  });

  itSerial('may have chunks, whose number is not known before', async (t) => {
    const { hold, isSent, open } = await startFleet(t);
    const sendChunks = (id: string) => {
      const sent = open(id, { 'transfer-encoding': 'chunked' });
      for (let bytes = 0; bytes < BODY_BYTES; bytes += 65_536) {
        sent.outgoing.write(Buffer.alloc(65_536));
      }
      sent.outgoing.end();
      return sent.answered;
    };
    t.like(await sendChunks('chunked'), { status: 200, body: String(BODY_BYTES) });
    await hold();
    t.is((await sendChunks('refused')).status, 503);
    t.false(isSent('refused'));
  });
});

describe('a large body of a request that is refused anyway', () => {
  for (const [title, headers, path, status] of [
    ['for its route', {}, '/nowhere', 404],
    ['for its key', { 'x-key': 'wrong-key' }, '/plain/1', 401],
    ['for its length', { 'content-length': String(BODY_BYTES + 1) }, '/plain/1', 413],
  ] as const) {
    itSerial(`is not waited for: ${title}`, async (t) => {
      const { gateway, open } = await startFleet(t);
      t.is((await open('refused', headers, path).answered).status, status);
      t.is(gateway.state().memory.heldBytes, 0);
    });
  }
});
