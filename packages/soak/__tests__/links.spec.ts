// The proxy harms the links that it is told to, in each way, and passes all others on as they are.
import { once } from 'node:events';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import test from 'ava';

import { describe, it } from '@filbertlatch/core/testing';
import { listenOnLastingPort } from '#standins';

import type { Harm, Side } from '../src/links/harm.js';
import { hostOfVm, toProxied } from '../src/links/hosts.js';
import { LinkProxy } from '../src/links/proxy.js';

const BODY = 'x'.repeat(3000);
const HARM_MS = 400;

const servers: Server[] = [];
const proxy = new LinkProxy();

test.after.always(() => {
  proxy.stop();
  servers.forEach((server) => server.close());
});

/** Listens behind the proxy; what is received is sent back. */
async function listenEchoing(): Promise<string> {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => {});
    socket.pipe(socket);
  });
  servers.push(server);
  const address = await listenOnLastingPort(server);
  await proxy.open(address);
  return address;
}

function connectFrom(vm: number, address: string): Socket {
  const [host = '', port] = toProxied(address).split(':');
  return connect({ host, port: Number(port), localAddress: hostOfVm(vm) });
}

/** Sends the body; resolves with the ms until it is back, the chunks, and an error. */
async function exchange(socket: Socket) {
  const startedAt = Date.now();
  const chunks: string[] = [];
  let error = null as string | null;
  socket.on('data', (bytes: Buffer) => chunks.push(bytes.toString()));
  socket.on('error', ({ code = '' }: NodeJS.ErrnoException) => {
    error = code;
  });
  socket.end(BODY);
  await new Promise((resolve) => {
    socket.on('close', resolve);
  });
  return { ms: Date.now() - startedAt, text: chunks.join(''), chunks: chunks.length, error };
}

async function exchangeHarmed(harm: Harm, sides: readonly Side[] = ['forward', 'backward']) {
  const address = await listenEchoing();
  const sockets = [0, 1].map((vm) => connectFrom(vm, address)) as [Socket, Socket];
  await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  await sleep(20);
  proxy.harm([{ from: hostOfVm(0), to: address, sides }], harm, HARM_MS);
  const [harmed, sound] = await Promise.all([exchange(sockets[0]), exchange(sockets[1])]);
  return { harmed, sound };
}

describe('LinkProxy', () => {
  (['forward', 'backward'] as const).forEach((side) => {
    it(`holds what is sent on a link that is cut ${side}, and passes it afterwards`, async (t) => {
      const { harmed, sound } = await exchangeHarmed({ way: 'cut' }, [side]);
      t.is(harmed.text, BODY);
      t.true(harmed.ms >= HARM_MS - 30);
      t.true(sound.ms < harmed.ms);
    });
  });

  it('delays each direction', async (t) => {
    const { harmed, sound } = await exchangeHarmed({ way: 'delay', delayMs: 100 });
    t.is(harmed.text, BODY);
    t.true(harmed.ms >= 195);
    t.true(sound.ms < harmed.ms);
  });

  it('limits the rate', async (t) => {
    const { harmed, sound } = await exchangeHarmed({ way: 'limit', bytesPerSecond: 15_000 });
    t.is(harmed.text, BODY);
    t.true(harmed.ms >= 150);
    t.true(sound.ms < harmed.ms);
  });

  it('splits bytes', async (t) => {
    const { harmed, sound } = await exchangeHarmed({ way: 'split', pieceBytes: 100 });
    t.is(harmed.text, BODY);
    t.true(harmed.chunks > sound.chunks);
  });

  it('resets what is open, and nothing later', async (t) => {
    const { harmed, sound } = await exchangeHarmed({ way: 'reset' });
    t.is(harmed.error, 'ECONNRESET');
    t.is(sound.error, null);
    t.is(sound.text, BODY);
    const address = await listenEchoing();
    t.is((await exchange(connectFrom(0, address))).text, BODY);
  });

  it('refuses connections at once to an address that it is told to close', async (t) => {
    const address = await listenEchoing();
    proxy.close(address);
    t.is((await exchange(connectFrom(0, address))).error, 'ECONNREFUSED');
  });

  it('refuses connections as long as the address behind it does', async (t) => {
    const address = await listenEchoing();
    const server = servers.at(-1) as Server;
    server.close();
    await exchange(connectFrom(0, address));
    await sleep(20);
    t.is((await exchange(connectFrom(0, address))).error, 'ECONNREFUSED');
    server.listen(Number(address.split(':')[1]), '127.0.0.1');
    await sleep(150);
    t.is((await exchange(connectFrom(0, address))).text, BODY);
  });
});
