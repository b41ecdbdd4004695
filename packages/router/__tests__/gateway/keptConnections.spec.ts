import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { answerHeaders, readTermsOf } from './fakePeer.js';
import { EVENTS, formatEvent, SilentService, WHOLE_STREAM } from './silentService.js';

const IDLE_CONNECTIONS = 5;

/** Time in which connections close that the VM no longer uses. */
const CLOSE_MS = 200;

function sendRest(request: IncomingMessage, response: ServerResponse): void {
  const after = Number(readTermsOf(request).lastEventId);
  const headers = answerHeaders(request, { serviceId: 'desk', version: 'v1' });
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  for (let event = after + 1; event <= EVENTS; event += 1) response.write(formatEvent(event));
  response.end();
}

describe('connections to an endpoint that is silent with its whole service', () => {
  itSerial('are not closed when a peer takes over a stream', (t) =>
    SilentService.play(
      [sendRest],
      async (service) => {
        const [link] = service.links;
        const plain = Array.from({ length: IDLE_CONNECTIONS }, (_, index) =>
          service.call('/plain/', { 'x-request': `plain-${index}` }),
        );
        await Promise.all(plain);
        const idle = link!.sockets;
        t.true(idle.length >= IDLE_CONNECTIONS);
        Object.assign(service, { silentWithin: 7 });
        const { body } = await service.call('/resumed/', { 'x-remaining': '8000' });
        t.is(body, WHOLE_STREAM);
        t.is(service.peers[0]!.requests.length, 1);
        await sleep(CLOSE_MS);
        const closed = idle.filter(({ destroyed }) => destroyed).length;
        t.true(closed <= 1, `${closed} of ${idle.length} closed`);
      },
      1,
    ),
  );
});
