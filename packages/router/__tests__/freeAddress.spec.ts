import { once } from 'node:events';
import { createServer } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';

import { findFreeAddress } from '../src/testing/index.js';

const FIRST_OUTGOING_PORT = 32_768;

const readPort = (address: string) => Number(address.split(':')[1]);

describe('a free address of a test', () => {
  it('is none that an outgoing connection or another test can take', async (t) => {
    const first = readPort(await findFreeAddress());
    const second = readPort(await findFreeAddress());
    t.not(first, second);
    t.true(Math.max(first, second) < FIRST_OUTGOING_PORT);
  });

  it('is none at which a server listens', async (t) => {
    const next = readPort(await findFreeAddress()) + 1;
    const server = createServer().listen(next, '127.0.0.1');
    await once(server, 'listening');
    t.not(readPort(await findFreeAddress()), next);
    server.close();
  });
});
