import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';
import { HOST, ID_HEADER } from '#standins';

import type { SeenRequest } from '../src/evidence.js';
import { sendPipelines } from '../src/stress/pipeline.js';

const action = { kind: 'pipeline', vm: 0, count: 1, requests: 50, isReading: true } as const;
const ids = new RegExp(`^${ID_HEADER}: (\\w+)`, 'gim');

function formatAnswer(id: string): string {
  return `HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\nContent-Length: 2\r\n\r\nok`;
}

/** Plays one connection to a server that has read all requests. */
async function play(
  answer: (socket: Socket, requestIds: readonly string[]) => void,
  fields: { readonly isReading?: boolean; readonly forMs?: number } = {},
): Promise<SeenRequest[]> {
  const server = createServer((socket) => {
    let text = '';
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      const requestIds = [...text.matchAll(ids)].map(([, id]) => id as string);
      if (requestIds.length === action.requests) answer(socket, requestIds);
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as { port: number };
  const front = `127.0.0.1:${port}`;
  const listen = { front, ready: front, control: front };
  try {
    return await sendPipelines({ name: HOST, listen }, { ...action, forMs: 2000, ...fields });
  } finally {
    server.close();
  }
}

describe('sendPipelines', () => {
  it('tells whole answers that come in order', async (t) => {
    const seen = await play((socket, all) => socket.write(all.map(formatAnswer).join('')));
    t.true(
      seen.every(({ answer, status, isRight }) => answer === 'whole' && status === 200 && isRight),
    );
    t.is(seen.length, action.requests);
  });

  it('finds answers that come in another order', async (t) => {
    const seen = await play((socket, [first = '', second = '', ...others]) =>
      socket.write([second, first, ...others].map(formatAnswer).join('')),
    );
    t.deepEqual(
      seen.slice(0, 3).map(({ isRight }) => isRight),
      [false, false, true],
    );
  });

  it('tells cut and missing answers of a connection that is closed', async (t) => {
    const seen = await play((socket, [first = '', second = '']) =>
      socket.end(formatAnswer(first) + formatAnswer(second).slice(0, -1)),
    );
    t.deepEqual(
      seen.slice(0, 3).map(({ answer }) => answer),
      ['whole', 'cut', 'none'],
    );
  });

  it('leaves when it has read nothing for its time', async (t) => {
    const seen = await play((socket) => socket.write('HTTP/1.1 200 OK\r\n'), {
      isReading: false,
      forMs: 300,
    });
    t.true(seen.every(({ answer }) => answer === 'left'));
  });
});
