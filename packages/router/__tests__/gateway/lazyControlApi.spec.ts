import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial as it } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import { createControlApi, type ControlSource } from '../../src/gateway/controlApi.js';
import { createLazyControlApi } from '../../src/gateway/lazyControlApi.js';

const source = {
  handleCall: () => Promise.resolve(null),
  renderMetrics: () => Promise.resolve('metrics'),
} as unknown as ControlSource;

async function serve(t: ExecutionContext, listener: RequestListener): Promise<string> {
  const server = createServer(listener).listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe('a control API whose libraries cannot be read for a moment', () => {
  it('refuses the request and answers the next one', async (t) => {
    let loads = 0;
    const load = () => {
      loads += 1;
      return loads === 1
        ? Promise.reject(new Error('EMFILE'))
        : Promise.resolve(createControlApi(source));
    };
    const url = await serve(t, createLazyControlApi(source, load));
    t.is((await fetch(`${url}/metrics`)).status, 503);
    t.is(await (await fetch(`${url}/metrics`)).text(), 'metrics');
    t.is(loads, 2);
  });
});

describe('a control API that gets a malformed call', () => {
  it('refuses it and prints nothing', async (t) => {
    const printed: unknown[] = [];
    const { error } = console;
    // eslint-disable-next-line no-console -- where the library prints
    console.error = (...values: unknown[]) => printed.push(values);
    t.teardown(() => {
      // eslint-disable-next-line no-console -- where the library prints
      console.error = error;
    });
    const url = await serve(t, createLazyControlApi(source));
    t.is((await fetch(`${url}/rpc`, { method: 'POST', body: '{' })).status, 400);
    t.deepEqual(printed, []);
  });
});

describe('a control API whose answers are not taken', () => {
  it('answers no further calls until their connections are closed', async (t) => {
    const answer = { jsonrpc: '2.0' as const, id: 1, result: 'x'.repeat(8_000_000) };
    const url = await serve(
      t,
      createControlApi({ ...source, handleCall: () => Promise.resolve(answer) }),
    );
    const call = '{"jsonrpc":"2.0","id":1,"method":"a"}';
    const head = `POST /rpc HTTP/1.1\r\nhost: vm\r\ncontent-length: ${call.length}\r\n\r\n`;
    const sockets = Array.from({ length: 8 }, () => {
      const socket = connect(Number(new URL(url).port), '127.0.0.1').on('error', () => {});
      socket.pause().write(head + call);
      return socket;
    });
    const send = async () => {
      const { status, body } = await fetch(`${url}/rpc`, { method: 'POST', body: call });
      await body?.cancel();
      return status;
    };
    await sleep(300);
    t.is(await send(), 503);
    await sleep(1200);
    t.is(await send(), 200);
    sockets.forEach((socket) => socket.destroy());
  });
});
