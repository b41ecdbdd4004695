import { setImmediate as checkPhase, setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { call } from './fixtures.js';
import { blockLoop } from './threadedEndpoint.js';
import { withThreadedEndpoints } from './threadedVm.js';

describe('an endpoint that answers while the process stands still', () => {
  itSerial('is not looked into as one that may have crashed', (t) =>
    withThreadedEndpoints([{ answerDelayMs: 700 }], async (vm, [endpoint]) => {
      const headers = { 'x-segments': 'a,b', 'x-request': 'request-1' };
      const answer = call(vm.callers, '/plain/', { headers });
      await sleep(200);
      // Timers run next, before the sockets are read.
      await checkPhase();
      blockLoop(1500);
      t.is((await answer).status, 200);
      await sleep(200);
      // The only check is that of the pinned connection, as for each request without an answer after 200 ms.
      t.deepEqual(endpoint!.paths, ['/plain/', '/health']);
    }),
  );
});
