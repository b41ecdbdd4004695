import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { request as sendRequest, type IncomingMessage } from 'node:http';

import { describe, itSerial } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import {
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
} from './fixtures.js';

/** More than the buffers of a connection take. */
const ANSWER_BYTES = 14_000_000;

const answer = Buffer.alloc(ANSWER_BYTES, 'abcdefg');

const digest = (bytes: Buffer) => createHash('sha256').update(bytes).digest('hex');

async function readAll(response: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(response, 'end');
  return Buffer.concat(chunks);
}

async function startFleet(t: ExecutionContext) {
  const endpoint = await startEndpoint('e0', (request, response) => {
    response.writeHead(200, {
      ...{ 'x-request': request.headers['x-request'], 'x-mac': 'mac' },
      'content-length': ANSWER_BYTES,
    });
    response.end(answer);
  });
  const source = createSource(testConfiguration, [endpoint.endpoint]);
  const { callers, gateway } = await startGateway(source);
  t.teardown(() => {
    gateway.stop();
    endpoint.close();
  });
  await waitUntil(() => gateway.state().endpoints.length === 1);
  const [host, port] = callers.split(':');
  const send = (id: string) => {
    const headers = { host: 'desk.example', 'x-request': id, 'x-key': 'right-key' };
    const options = { host, port, path: '/plain/1', method: 'POST', agent: false, headers };
    return sendRequest(options).end();
  };
  const readHead = async (id: string) => {
    const outgoing = send(id);
    const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
    return { outgoing, response };
  };
  return { readHead, heldBytes: () => gateway.state().memory.byKind.answer };
}

describe('a whole answer that its caller has not taken', () => {
  for (const end of ['is read later', 'is left'] as const) {
    itSerial(`is counted as held until it ${end}`, async (t) => {
      const { heldBytes, readHead } = await startFleet(t);
      const { outgoing, response } = await readHead('r-1');
      await waitUntil(() => heldBytes() === ANSWER_BYTES);
      if (end === 'is left') outgoing.destroy();
      else t.is(digest(await readAll(response)), digest(answer));
      await waitUntil(() => heldBytes() === 0);
      t.pass();
    });
  }

  itSerial('gives way when its caller takes nothing and others wait', async (t) => {
    const { heldBytes, readHead } = await startFleet(t);
    const idle = await Promise.all(['r-1', 'r-2'].map((id) => readHead(id)));
    idle.forEach(({ response }) => response.on('error', () => {}));
    await waitUntil(() => heldBytes() === 2 * ANSWER_BYTES);
    const { response } = await readHead('r-3');
    t.is(digest(await readAll(response)), digest(answer));
    idle.forEach(({ response: untaken }) => untaken.resume());
    await waitUntil(() => idle.every(({ response: untaken }) => untaken.closed));
    t.true(idle.some(({ response: untaken }) => !untaken.complete));
  });
});
