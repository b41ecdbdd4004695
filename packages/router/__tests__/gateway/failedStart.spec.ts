import { once } from 'node:events';
import { createServer } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';

import { createGateway } from '../../src/gateway/index.js';
import { findFreeAddress } from '../../src/testing/index.js';
import { createSource, testDialect } from './fixtures.js';

async function listenAt(address: string) {
  const [host, port] = address.split(':');
  const server = createServer().listen(Number(port), host);
  await once(server, 'listening');
  return server;
}

describe('a gateway that cannot use one of its addresses', () => {
  it('leaves its other addresses free', async (t) => {
    const callers = await findFreeAddress();
    const ready = await findFreeAddress();
    const control = await findFreeAddress();
    const other = await listenAt(callers);
    const settings = {
      vm: { id: 'vm-1', zone: 'zone-a' },
      listen: { callers, ready, control },
      seeds: [],
      platform: { address: '127.0.0.1:1' },
      graceSeconds: 2,
      repeats: { ratio: 0.2, slack: 50, windowSeconds: 10 },
      logLevel: 'error' as const,
    };
    const start = createGateway(settings, createSource(null, []), testDialect);
    await t.throwsAsync(start, { code: 'EADDRINUSE' });
    const servers = await Promise.all([listenAt(ready), listenAt(control)]);
    [other, ...servers].forEach((server) => server.close());
    t.is(servers.length, 2);
  });
});
