import { once } from 'node:events';
import { createServer } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';

import { findFreeAddress } from '../../src/testing/index.js';
import { listenAgain } from './keptPort.js';

describe('a server of a test that listens again on its port', () => {
  it('does so once a copy of its closed socket is gone', async (t) => {
    const address = await findFreeAddress();
    const copy = createServer().listen(Number(address.split(':')[1]), '127.0.0.1');
    await once(copy, 'listening');
    setTimeout(() => copy.close(), 50);
    const server = createServer();
    await listenAgain(server, address);
    t.true(server.listening);
    server.close();
  });
});
