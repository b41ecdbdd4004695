import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { SilentService, type Run } from './silentService.js';

const PLAIN_MS = 4500;

/** 2.5 latency targets of 400 ms, and some margin. */
const MAX_REPLACE_MS = 2000;

describe('a request at an endpoint that has ended without a sign', () => {
  itSerial('goes elsewhere though the other endpoints give long answers', (t) =>
    SilentService.play([], async (service) => {
      let isSafe = false;
      let safeRuns = 0;
      Object.assign(service, {
        trouble: (_run: Run, response: ServerResponse) => {
          if (isSafe) {
            safeRuns += 1;
            return safeRuns === 1;
          }
          setTimeout(() => {
            response.writeHead(200, {
              'x-request': response.req.headers['x-request']!,
              'x-mac': 'mac',
            });
            response.end('answer');
          }, PLAIN_MS);
          return true;
        },
      });
      const callPlain = (name: string) =>
        Promise.all(
          [0, 1, 2, 3].map((index) =>
            service.call('/plain/', { 'x-request': `${name}${index}`, 'x-remaining': '5000' }),
          ),
        );
      await callPlain('a');
      const second = callPlain('b');
      await sleep(300);
      t.is(new Set(service.runs.slice(4).map(({ endpointId }) => endpointId)).size, 2);
      isSafe = true;
      const startedAt = performance.now();
      const { status } = await service.call('/safe/', { 'x-request': 's', 'x-remaining': '8000' });
      const tookMs = performance.now() - startedAt;
      await second;
      t.is(status, 200);
      t.true(tookMs < MAX_REPLACE_MS);
    }),
  );
});
