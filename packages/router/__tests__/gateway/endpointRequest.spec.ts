import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';

import { EndpointRequest, type AttemptFailure } from '../../src/gateway/endpointRequest.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { EndpointConnections } from '../../src/gateway/endpointConnections.js';
import { HeldBody } from '../../src/memory/heldBody.js';

const loopDelay = new LoopDelay();

interface Outcome {
  status: number;
  body: string;
  failure: AttemptFailure | null;
}

/** Starts a TCP server whose raw answers are written by the test. */
async function startEndpoint(answer: (socket: Socket, request: string) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes) => answer(socket, bytes.toString('latin1')));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

/** Sends a request; with `pauseMs` each chunk pauses the answer for so long. */
function sendRequest(
  connections: EndpointConnections,
  path = '/',
  pauseMs: number | null = null,
): Promise<Outcome> {
  return new Promise((resolve) => {
    const outcome: Outcome = { status: 0, body: '', failure: null };
    const request = new EndpointRequest(connections, loopDelay, {
      head: (status) => {
        outcome.status = status;
      },
      body: (chunk) => {
        outcome.body += chunk.toString('latin1');
        if (pauseMs !== null) setTimeout(() => request.resume(), pauseMs);
        return pauseMs === null;
      },
      end: () => resolve(outcome),
      fail: (failure) => resolve({ ...outcome, failure }),
    });
    request.start({
      method: 'GET',
      path,
      formatHeaders: () => ['Host', 'desk.example'],
      body: null,
    });
  });
}

async function withEndpoint<T>(
  answer: (socket: Socket, request: string) => void,
  use: (connections: EndpointConnections) => Promise<T>,
): Promise<T> {
  const server = await startEndpoint(answer);
  const { port } = server.address() as AddressInfo;
  const connections = new EndpointConnections(`127.0.0.1:${port}`, 4);
  try {
    return await use(connections);
  } finally {
    connections.close();
    server.close();
  }
}

describe('for an endpoint request', () => {
  describe('the room of its body', () => {
    const cases = {
      'when it is dropped for a caller that has left': false,
      'once an endpoint that never answers has the body': true,
    };
    Object.entries(cases).forEach(([title, isAwaited]) => {
      it(`is given back ${title}`, async (t) => {
        const body = Buffer.from('body');
        const terms = {
          kind: 'request',
          owner: null,
          isSmall: true,
          readAt: 0,
          readBy: 0,
        } as const;
        const isGivenBack = await withEndpoint(
          () => {},
          (connections) =>
            new Promise<boolean>((resolve) => {
              const request = new EndpointRequest(connections, loopDelay, {
                isAwaited: () => isAwaited,
                head: () => {},
                body: () => true,
                end: () => {},
                fail: () => {},
              });
              const end = (hasRoom: boolean) => {
                resolve(hasRoom);
                request.cancel();
              };
              setTimeout(() => end(false), 1000).unref();
              const held = new HeldBody(terms, body.length, () => end(true));
              request.start({ method: 'POST', path: '/', formatHeaders: () => [], body, held });
              held.release();
            }),
        );
        t.true(isGivenBack);
      });
    });
  });

  describe('an answer without a length', () => {
    it('is complete when its connection ends', async (t) => {
      const outcome = await withEndpoint(
        (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
        (connections) => sendRequest(connections),
      );
      t.is(outcome.failure, null);
      t.is(outcome.body, 'whole');
    });

    it('is complete when its connection ends while its last bytes are held back', async (t) => {
      const outcome = await withEndpoint(
        (socket) => {
          socket.write('HTTP/1.1 200 OK\r\n\r\nfirst');
          setTimeout(() => socket.end(' last'), 20);
        },
        (connections) => sendRequest(connections, '/', 100),
      );
      t.is(outcome.failure, null);
      t.is(outcome.body, 'first last');
    });

    it('is broken when its connection is reset, with or without a body', async (t) => {
      for (const part of ['', 'half']) {
        const outcome = await withEndpoint(
          (socket) => {
            socket.write(`HTTP/1.1 200 OK\r\n\r\n${part}`);
            setTimeout(() => socket.resetAndDestroy(), 20);
          },
          (connections) => sendRequest(connections),
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
        (connections) => sendRequest(connections),
      );
      t.is(outcome.failure?.verdict, 'may-have-run');
    });

    it('does not pass surplus bytes to the next request on the connection', async (t) => {
      let connectionCount = 0;
      const extra = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra';
      const [first, second] = await withEndpoint(
        (socket, request) => {
          const isFirst = request.startsWith('GET /first');
          if (isFirst) connectionCount += 1;
          socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown');
          if (isFirst) socket.write(extra);
        },
        async (connections) => {
          const one = await sendRequest(connections, '/first');
          return [one, await sendRequest(connections, '/second')];
        },
      );
      t.is(connectionCount, 1);
      t.is(first?.body, 'own');
      t.is(second?.body, 'own');
    });
  });

  describe('bytes that are not HTTP', () => {
    it('fail the request as malformed', async (t) => {
      const outcome = await withEndpoint(
        (socket) => socket.write('no answer at all\r\n\r\n'),
        (connections) => sendRequest(connections),
      );
      t.is(outcome.failure?.cause, 'malformed');
      t.is(outcome.failure?.verdict, 'may-have-run');
    });
  });

  describe('a connection that cannot be opened', () => {
    it('fails the request as not run', async (t) => {
      const server = await startEndpoint(() => {});
      const { port } = server.address() as AddressInfo;
      server.close();
      await once(server, 'close');
      const connections = new EndpointConnections(`127.0.0.1:${port}`, 4);
      const outcome = await sendRequest(connections);
      connections.close();
      t.is(outcome.failure?.verdict, 'not-run');
      t.is(outcome.failure?.cause, 'unreachable');
    });
  });
});
