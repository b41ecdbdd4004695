import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import { createSource, startEndpoint, startGateway, testConfiguration } from './fixtures.js';
import { KeptCaller } from './keptCaller.js';
import { blockLoop } from './threadedEndpoint.js';

const IDLE_TIMEOUT_MS = 250;

/** Time after which idle connections are closed: 1.2 times as long, and the runtime's margin of a second. */
const CLOSED_MS = 1800;

/** Time in which the configuration is applied. */
const APPLY_MS = 300;

/** Opens a connection to a gateway with a short idle time-out, and uses it once. */
async function connectKept(t: ExecutionContext): Promise<KeptCaller> {
  const endpoint = await startEndpoint('e0', (request, response) => {
    response.writeHead(200, { 'x-request': request.headers['x-request'], 'x-mac': 'mac' });
    response.end('answer');
  });
  const limits = { ...testConfiguration.limits, idleTimeoutMs: IDLE_TIMEOUT_MS };
  const configuration = { ...testConfiguration, limits };
  const vm = await startGateway(createSource(configuration, [endpoint.endpoint]));
  await sleep(APPLY_MS);
  const caller = await KeptCaller.connect(vm.callers);
  t.teardown(() => {
    caller.close();
    vm.gateway.stop();
    endpoint.close();
  });
  t.regex(await caller.call(), /^HTTP\/1\.1 200 /);
  return caller;
}

describe('an idle connection', () => {
  itSerial('is closed after the idle time-out', async (t) => {
    const caller = await connectKept(t);
    await sleep(IDLE_TIMEOUT_MS);
    t.is(caller.end, null);
    await sleep(CLOSED_MS - IDLE_TIMEOUT_MS);
    t.is(caller.end, 'closed');
  });

  itSerial(
    'is not closed while a request waits in it that came in time to a late VM',
    async (t) => {
      const caller = await connectKept(t);
      await sleep(IDLE_TIMEOUT_MS / 2);
      // After a poll, so that time-outs come before the next one.
      setImmediate(() => {
        caller.send();
        blockLoop(CLOSED_MS);
      });
      t.regex(await caller.readAnswer(), /^HTTP\/1\.1 200 /);
      t.regex(await caller.call(), /^HTTP\/1\.1 200 /);
    },
  );
});
