import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';
import { request } from 'undici';

import { createTestRouter, waitUntil } from './createTestRouter.js';
import { createTestTable, API_KEY } from './createTestTable.js';

const CHUNK = 'x'.repeat(65_536);

// The router's limit for a report plus what the kernel's socket buffers hold.
const MAX_READ_BYTES = 16 * 1024 * 1024;

describe('an engine whose load report has no end', () => {
  it('is cut off after a bounded number of bytes', async (t) => {
    let readBytes = 0;
    let cutOff = false;
    const server = createServer((incoming, response) => {
      incoming.resume();
      if (incoming.url !== '/load') {
        response.writeHead(503).end();
        return;
      }
      const send = () => {
        response.write(CHUNK, (error) => {
          if (error) return;
          readBytes += CHUNK.length;
          send();
        });
      };
      response.on('close', () => {
        cutOff = true;
      });
      send();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => {
      server.closeAllConnections();
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    const table = createTestTable({ engine: `http://127.0.0.1:${port}` });
    const router = await createTestRouter(t, table);
    const { body } = await request(`${router.callerUrl}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${API_KEY}` },
      body: JSON.stringify({ model: 'desk', messages: [{ role: 'user', content: 'x' }] }),
    });
    await body.dump();
    await waitUntil(() => cutOff);
    t.true(readBytes < MAX_READ_BYTES, `${readBytes} bytes were read`);
  });
});
