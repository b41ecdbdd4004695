import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

import { describe, itSerial as it } from '@filbertlatch/core/testing';

import { splitAddress } from '../../src/gateway/address.js';
import { holdConnection } from '../../src/gateway/holdConnection.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { findFreeAddress } from '../../src/testing/index.js';
import { blockLoop } from './threadedEndpoint.js';

const times = { connectTimeoutMs: 500, holdMs: 40 };

async function holdAt(accept: (socket: Socket) => void): Promise<boolean> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    accept(socket);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const loopDelay = new LoopDelay();
  return holdConnection({ host: '127.0.0.1', port }, loopDelay, times).finally(() => {
    server.close();
    loopDelay.stop();
  });
}

describe('a connection that is held', () => {
  it('has stayed open where nothing closes it', async (t) => {
    t.true(await holdAt(() => {}));
  });

  it('has not stayed open where it is closed a moment later', async (t) => {
    t.false(await holdAt((socket) => setTimeout(() => socket.end(), 15)));
  });

  it('has not stayed open where it is closed in a standstill of this process', async (t) => {
    const closed = holdAt((socket) => {
      setTimeout(() => setImmediate(blockLoop, 40), 10);
      setTimeout(() => socket.destroy(), 15);
    });
    t.false(await closed);
  });

  it('fails where it is reset a moment later, or refused', async (t) => {
    const reset = holdAt((socket) => setTimeout(() => socket.resetAndDestroy(), 15));
    await t.throwsAsync(reset, { code: 'ECONNRESET' });
    const loopDelay = new LoopDelay();
    const refused = holdConnection(splitAddress(await findFreeAddress()), loopDelay, times);
    await t.throwsAsync(refused, { code: 'ECONNREFUSED' });
    loopDelay.stop();
  });
});
