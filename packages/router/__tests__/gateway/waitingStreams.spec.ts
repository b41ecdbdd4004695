import type { ServerResponse } from 'node:http';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { pause, SilentService, WHOLE_STREAM, type Run } from './silentService.js';

const LAST_EVENT = 5;

/** Both endpoints turn the stream away once. */
const REFUSALS = 2;

/** Five target gaps of 240 ms: silence after which an attempt counts as stuck. */
const STUCK_MS = 1200;

/** The endpoints take requests again just before the attempt that has ended would count as stuck. */
const PAUSE_MS = STUCK_MS - 20;

describe('a stream whose attempt has ended, and that waits for an endpoint', () => {
  itSerial('goes on at one endpoint only, and each event comes once', (t) =>
    SilentService.play([], async (service) => {
      Object.assign(service, {
        trouble: (run: Run, response: ServerResponse) => {
          const index = service.runs.indexOf(run);
          if (index === 0) {
            if (run.events < LAST_EVENT) return false;
            response.destroy();
            return true;
          }
          if (index > REFUSALS) return false;
          pause(response, performance.now() + PAUSE_MS);
          return true;
        },
      });
      const { body } = await service.call('/resumed/', {
        'x-request': 'waiting',
        'x-remaining': '8000',
      });
      t.true(service.runs.length > REFUSALS + 1);
      t.is(body, WHOLE_STREAM);
    }),
  );
});
