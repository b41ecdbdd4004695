import type { IncomingMessage, ServerResponse } from 'node:http';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { answerHeaders } from './fakePeer.js';
import { waitUntil } from './fixtures.js';
import { formatEvent, SilentService, WHOLE_STREAM } from './silentService.js';

const MAX_OVERLAP_MS = 400;
const PREFILL_MS = 3000;

describe('a stream at a full service that peers hear', () => {
  [1, 2].forEach((endpoints) => {
    itSerial(`does not run at two of ${endpoints} endpoints for longer than 400 ms`, (t) => {
      let takenAt = Number.POSITIVE_INFINITY;
      let givenUpAt = Number.POSITIVE_INFINITY;
      const prefill = (request: IncomingMessage, response: ServerResponse) => {
        if (takenAt === Number.POSITIVE_INFINITY) takenAt = performance.now();
        response.on('close', () => {
          givenUpAt = Math.min(givenUpAt, performance.now());
        });
        setTimeout(() => {
          if (response.destroyed) return;
          const headers = answerHeaders(request, { serviceId: 'desk', version: 'v1' });
          response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
          response.end(WHOLE_STREAM);
        }, PREFILL_MS);
      };
      return SilentService.play(
        [prefill],
        async (service) => {
          Object.assign(service, {
            trouble: (_run: unknown, response: ServerResponse) => {
              setTimeout(() => {
                response.writeHead(200, {
                  'x-request': 'full',
                  'x-mac': 'mac',
                  'content-type': 'text/event-stream',
                });
                response.write(formatEvent(1));
                response.end(WHOLE_STREAM.slice(formatEvent(1).length));
              }, PREFILL_MS);
              return true;
            },
          });
          // Health checks wait for a slot; the links are sound, and the endpoint works.
          service.fallSilent();
          const { body, isComplete } = await service.call('/resumed/', {
            'x-request': 'full',
            'x-remaining': '8000',
          });
          t.true(isComplete);
          t.is(body, WHOLE_STREAM);
          if (service.peers[0]!.requests.length === 0) return;
          await waitUntil(() => service.runs[0]!.endedAt !== null);
          const overlapMs = Math.min(service.runs[0]!.endedAt!, givenUpAt) - takenAt;
          t.log(`both ran for ${Math.round(overlapMs)} ms`);
          t.true(overlapMs <= MAX_OVERLAP_MS);
        },
        endpoints,
      );
    });
  });
});
