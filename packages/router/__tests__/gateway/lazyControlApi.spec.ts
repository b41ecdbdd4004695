import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';

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
