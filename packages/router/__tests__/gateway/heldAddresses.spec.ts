import { once } from 'node:events';
import { connect, createServer, type Server } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, it } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import { createGateway } from '../../src/gateway/index.js';
import { findFreeAddress } from '../../src/testing/index.js';
import { call, createSource, testDialect } from './fixtures.js';

/** Time in which an address is asked for several times. */
const SEVERAL_RETRIES_MS = 350;

type AddressName = 'callers' | 'ready' | 'control';

const NAMES: readonly AddressName[] = ['callers', 'ready', 'control'];

async function listenAt(address: string): Promise<Server> {
  const [host, port] = address.split(':');
  const server = createServer().listen(Number(port), host);
  await once(server, 'listening');
  return server;
}

async function createSettings(changed: Partial<Record<AddressName, string>> = {}) {
  const [callers, ready, control] = await Promise.all(NAMES.map(findFreeAddress));
  return {
    vm: { id: 'vm-1', zone: 'zone-a' },
    listen: { callers: callers!, ready: ready!, control: control!, ...changed },
    seeds: [],
    platform: { address: '127.0.0.1:1' },
    graceSeconds: 2,
    repeats: { ratio: 0.2, slack: 50, windowSeconds: 10 },
    logLevel: 'error' as const,
  };
}

type TestSettings = Awaited<ReturnType<typeof createSettings>>;

const start = (settings: TestSettings, signal?: AbortSignal) =>
  createGateway(settings, createSource(null, []), testDialect, signal);

async function areFree(t: ExecutionContext, addresses: readonly string[]): Promise<void> {
  const servers = await Promise.all(addresses.map(listenAt));
  servers.forEach((server) => server.close());
  t.is(servers.length, addresses.length);
}

describe('a gateway one of whose addresses is in use', () => {
  NAMES.forEach((name) => {
    it(`listens when it is free, and is not ready before: ${name}`, async (t) => {
      const settings = await createSettings();
      const holder = await listenAt(settings.listen[name]);
      let isStarted = false;
      const starting = start(settings).then((gateway) => {
        isStarted = true;
        return gateway;
      });
      await sleep(SEVERAL_RETRIES_MS);
      t.false(isStarted);
      if (name !== 'ready') t.is((await call(settings.listen.ready, '/')).status, 503);
      holder.close();
      const gateway = await starting;
      t.teardown(() => gateway.stop());
      t.is((await call(settings.listen.callers, '/')).status, 503);
      t.is((await call(settings.listen.control, '/state')).status, 200);
    });

    it(`leaves the others free when the wait is ended: ${name}`, async (t) => {
      const settings = await createSettings();
      const holder = await listenAt(settings.listen[name]);
      const end = new AbortController();
      const starting = start(settings, end.signal);
      await sleep(SEVERAL_RETRIES_MS);
      end.abort();
      t.is(await t.throwsAsync(starting, { any: true }), end.signal.reason as Error);
      holder.close();
      await areFree(t, Object.values(settings.listen));
    });
  });
});

describe('a gateway whose wait for an address is ended', () => {
  it('answers the request of a caller who has found another one', async (t) => {
    const settings = await createSettings();
    const holder = await listenAt(settings.listen.control);
    t.teardown(() => holder.close());
    const end = new AbortController();
    const starting = start(settings, end.signal);
    await sleep(SEVERAL_RETRIES_MS);
    const [host, port] = settings.listen.callers.split(':');
    const caller = connect(Number(port), host);
    await once(caller, 'connect');
    const received = text(caller);
    caller.write('GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n');
    end.abort();
    t.regex(await received, /^HTTP\/1\.1 503 /);
    await t.throwsAsync(starting, { any: true });
  });
});

describe('a gateway that cannot use one of its addresses', () => {
  it('ends with an error that names it, and leaves the others free', async (t) => {
    const settings = await createSettings({ control: '127.0.0.1:70000' });
    await t.throwsAsync(start(settings), { code: 'address_unusable', message: /127.0.0.1:70000/ });
    await areFree(t, [settings.listen.callers, settings.listen.ready]);
  });

  it('ends the wait for another one', async (t) => {
    const settings = await createSettings({ control: '127.0.0.1:70000' });
    const holder = await listenAt(settings.listen.callers);
    await t.throwsAsync(start(settings), { code: 'address_unusable' });
    holder.close();
    await areFree(t, [settings.listen.callers, settings.listen.ready]);
  });
});
