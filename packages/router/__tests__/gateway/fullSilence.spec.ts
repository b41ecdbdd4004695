import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itKnownRed } from '@filbertlatch/core/testing';

import { waitUntil } from './fixtures.js';
import { pause, SilentService, type Run } from './silentService.js';

/** Requests that fill the endpoints that are heard. */
const FILLING = 36;
const FILL_MS = 1000;

/** 2.5 latency targets of 400 ms, time for three attempts to count, and some margin. */
const MAX_DETECTION_MS = 1900;
const MAX_REFUSAL_MS = 300;

/** More requests than the detection needs, and fewer than fill the silent endpoint. */
const CALL_INTERVAL_MS = 150;

describe('an endpoint that has fallen silent while the others are full', () => {
  itKnownRed('gets nothing more, and what it has is served when there is room', (t) =>
    SilentService.play(
      [],
      async (service) => {
        const held: ServerResponse[] = [];
        const pausedUntil = performance.now() + FILL_MS;
        let isFree = false;
        const answer = (response: ServerResponse) => {
          const id = response.req.headers['x-request']!;
          response.writeHead(200, { 'x-request': id, 'x-mac': 'mac' }).end('answer');
        };
        Object.assign(service, {
          trouble: ({ endpointId }: Run, response: ServerResponse) => {
            if (endpointId === 'e0') pause(response, pausedUntil);
            else if (isFree) answer(response);
            else held.push(response);
            return true;
          },
        });
        const filling = Array.from({ length: FILLING }, (_, index) =>
          service.call('/plain/', { 'x-request': `f${index}`, 'x-remaining': '5000' }),
        );
        await waitUntil(() => held.length === FILLING);
        await sleep(pausedUntil + 100 - performance.now());
        service.links[0]!.cut('silent');
        const callSafe = (index: number) =>
          service.call('/safe/', { 'x-request': `s${index}`, 'x-remaining': '6000' });
        const sent = Array.from({ length: Math.floor(1000 / CALL_INTERVAL_MS) }, async (_, i) => {
          await sleep(i * CALL_INTERVAL_MS);
          return callSafe(i);
        });
        await sleep(MAX_DETECTION_MS);
        const startedAt = performance.now();
        const late = await Promise.race([callSafe(99), sleep(MAX_REFUSAL_MS)]);
        t.log(`answered after ${Math.round(performance.now() - startedAt)} ms`);
        t.is(late?.status, 503);
        isFree = true;
        held.forEach(answer);
        const statuses = (await Promise.all(sent)).map(({ status }) => status);
        t.deepEqual(new Set(statuses), new Set([200]));
        await Promise.all(filling);
      },
      3,
    ),
  );
});
