import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';

import { Attempt, type AttemptFailure } from '../../src/gateway/attempt.js';
import { EndpointChannels } from '../../src/gateway/endpointChannels.js';

interface Outcome {
  status: number;
  body: string;
  failure: AttemptFailure | null;
}

/** Starts an endpoint that answers each request with raw bytes, as a test tells it. */
async function startEndpoint(answer: (socket: Socket, request: string) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes) => answer(socket, bytes.toString('latin1')));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

function send(channels: EndpointChannels, path = '/'): Promise<Outcome> {
  return new Promise((resolve) => {
    const outcome: Outcome = { status: 0, body: '', failure: null };
    const attempt = new Attempt(channels, {
      head: (status) => {
        outcome.status = status;
      },
      body: (chunk) => {
        outcome.body += chunk.toString('latin1');
        return true;
      },
      end: () => resolve(outcome),
      fail: (failure) => resolve({ ...outcome, failure }),
    });
    attempt.start({ method: 'GET', path, headers: ['Host', 'desk.example'], body: null });
  });
}

async function withEndpoint<T>(
  answer: (socket: Socket, request: string) => void,
  use: (channels: EndpointChannels) => Promise<T>,
): Promise<T> {
  const server = await startEndpoint(answer);
  const { port } = server.address() as AddressInfo;
  const channels = new EndpointChannels(`127.0.0.1:${port}`, 4);
  try {
    return await use(channels);
  } finally {
    channels.close();
    server.close();
  }
}

describe('attempt', () => {
  describe('an answer without a length', () => {
    it('is whole when its connection ends', async (t) => {
      const outcome = await withEndpoint(
        (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
        (channels) => send(channels),
      );
      t.is(outcome.failure, null);
      t.is(outcome.body, 'whole');
    });

    it('is broken when its connection is reset, with any number of bytes', async (t) => {
      for (const part of ['', 'half']) {
        const outcome = await withEndpoint(
          (socket) => {
            socket.write(`HTTP/1.1 200 OK\r\n\r\n${part}`);
            setTimeout(() => socket.resetAndDestroy(), 20);
          },
          (channels) => send(channels),
        );
        t.is(outcome.failure?.cause, 'broken', `after ${part.length} bytes`);
        t.is(outcome.failure?.verdict, 'may-have-run');
      }
    });
  });

  describe('an answer with a length', () => {
    it('is broken when its connection ends early', async (t) => {
      const outcome = await withEndpoint(
        (socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf'),
        (channels) => send(channels),
      );
      t.is(outcome.failure?.verdict, 'may-have-run');
    });

    it('gives nothing of the bytes behind it to the next request', async (t) => {
      let connections = 0;
      const extra = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra';
      const [first, second] = await withEndpoint(
        (socket, request) => {
          const isFirst = request.startsWith('GET /first');
          if (isFirst) connections += 1;
          socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown');
          if (isFirst) socket.write(extra);
        },
        async (channels) => {
          const one = await send(channels, '/first');
          return [one, await send(channels, '/second')];
        },
      );
      t.is(connections, 1);
      t.is(first?.body, 'own');
      t.is(second?.body, 'own');
    });
  });

  describe('bytes that are no answer', () => {
    it('fail the attempt as malformed', async (t) => {
      const outcome = await withEndpoint(
        (socket) => socket.write('no answer at all\r\n\r\n'),
        (channels) => send(channels),
      );
      t.is(outcome.failure?.cause, 'malformed');
      t.is(outcome.failure?.verdict, 'may-have-run');
    });
  });

  describe('a connection that cannot be opened', () => {
    it('fails the attempt as not run', async (t) => {
      const server = await startEndpoint(() => {});
      const { port } = server.address() as AddressInfo;
      server.close();
      await once(server, 'close');
      const channels = new EndpointChannels(`127.0.0.1:${port}`, 4);
      const outcome = await send(channels);
      channels.close();
      t.is(outcome.failure?.verdict, 'not-run');
      t.is(outcome.failure?.cause, 'unreachable');
    });
  });
});
