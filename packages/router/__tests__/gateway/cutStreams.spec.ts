import type { IncomingMessage, ServerResponse } from 'node:http';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { answerHeaders, readTermsOf } from './fakePeer.js';
import { call } from './fixtures.js';
import { EVENTS, formatEvent, SilentService, WHOLE_STREAM } from './silentService.js';

/** A stream counts as stuck after 0.9 s, the shortest time. */
const route = { gapTargetMs: 100 };

function sendRest(request: IncomingMessage, response: ServerResponse): void {
  const after = Number(readTermsOf(request).lastEventId);
  const headers = answerHeaders(request, { serviceId: 'desk', version: 'v1' });
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  for (let event = after + 1; event <= EVENTS; event += 1) response.write(formatEvent(event));
  response.end();
}

describe('a stream on links that are cut and open connections', () => {
  [10, 300].forEach((contactAgeMs) => {
    [2, 6].forEach((endpoints) => {
      itSerial(
        `is not sent over them again: ${endpoints} endpoints, news of ${contactAgeMs} ms`,
        (t) =>
          SilentService.play(
            [sendRest],
            async (service) => {
              Object.assign(service.peers[0]!, { contactAgeMs: () => contactAgeMs });
              const answer = service.call('/resumed/', { 'x-remaining': '8000' });
              await service.waitForRun(1, 6);
              service.links.forEach((link) => link.cut('silent'));
              const { body, isComplete } = await answer;
              t.true(isComplete);
              t.is(body, WHOLE_STREAM);
              const metrics = (await call(service.vm.control, '/metrics')).body;
              t.is(metrics.match(/_attempts_total\{/g)?.length, 1);
            },
            endpoints,
            route,
          ),
      );
    });
  });

  itSerial('is carried by a peer though its route allows two attempts only', (t) =>
    SilentService.play(
      [sendRest],
      async (service) => {
        const answer = service.call('/resumed/', { 'x-remaining': '8000' });
        await service.waitForRun(1, 6);
        service.links.forEach((link) => link.cut('silent'));
        const { body, isComplete } = await answer;
        t.true(isComplete);
        t.is(body, WHOLE_STREAM);
      },
      2,
      { ...route, attempts: 2 },
    ),
  );
});
