import { setTimeout as sleep } from 'node:timers/promises';

import { describe, it } from '@filbertlatch/core/testing';

import { call, waitUntil } from './fixtures.js';
import { blockLoop } from './threadedEndpoint.js';
import { readMetric, withThreadedEndpoints } from './threadedVm.js';

describe('a health check that is answered while the process stands still', () => {
  it('does not make a crash of a broken connection', (t) =>
    withThreadedEndpoints(
      [{ answer: 'reset', healthDelayMs: 300 }, {}],
      async (vm, [resetting]) => {
        for (let sent = 0; !resetting!.paths.includes('/plain/'); sent += 1) {
          await call(vm.callers, '/plain/', { headers: { 'x-request': `request-${sent}` } });
        }
        await waitUntil(() => resetting!.paths.includes('/health'));
        blockLoop(1500);
        await sleep(500);
        t.is(await readMetric(vm, 'known_crashes'), 0);
      },
    ));
});
