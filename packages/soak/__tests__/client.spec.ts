// How the callers' stand-in tells the ends of a connection apart, which LOST is judged by.
import { once } from 'node:events';
import { Agent } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';
import { sendAttempt } from '#standins';

const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

/** Sends requests, one after the other on one connection, to a server that does something on each. */
async function send(bodies: readonly string[], handle: (socket: Socket, count: number) => void) {
  let count = 0;
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', () => {
      count += 1;
      handle(socket, count);
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const channel = new Agent({ keepAlive: true, maxSockets: 1 });
  const seen = [];
  for (const body of bodies) {
    const call = { method: 'POST', host: 'a.example', path: '/', headers: {}, body, channel };
    seen.push(await sendAttempt(address, call));
  }
  channel.destroy();
  server.close();
  return { address, seen };
}

describe('sendAttempt', () => {
  it('tells a close from a reset, after a request was sent whole', async (t) => {
    const { seen: closed } = await send(['a'], (socket) => setTimeout(() => socket.end(), 50));
    const { seen: reset } = await send(['a'], (socket) => socket.resetAndDestroy());
    t.deepEqual([closed[0]?.connection, reset[0]?.connection], ['closed', 'reset']);
    t.deepEqual([closed[0]?.answer, reset[0]?.answer], ['none', 'none']);
    const sinceWritten = closed[0]!.endedAt - (closed[0]!.writtenAt ?? 0);
    t.true(sinceWritten >= 45 && sinceWritten < 5000, `${sinceWritten} ms`);
  });

  it('knows a kept connection, and one that was refused', async (t) => {
    const { address, seen } = await send(['a', 'b'], (socket, count) => {
      if (count === 1) socket.write(ANSWER);
      else socket.end();
    });
    t.deepEqual(
      seen.map(({ isReused, connection }) => [isReused, connection]),
      [
        [false, null],
        [true, 'closed'],
      ],
    );
    const call = { method: 'POST', host: 'a.example', path: '/', headers: {}, body: 'a' };
    const refused = await sendAttempt(address, { ...call, channel: new Agent() });
    t.deepEqual([refused.connection, refused.writtenAt], ['refused', null]);
  });

  it('knows that a request was not sent whole', async (t) => {
    const { seen } = await send(['a'.repeat(5e7)], (socket) => socket.resetAndDestroy());
    t.is(seen[0]?.writtenAt, null);
  });
});
