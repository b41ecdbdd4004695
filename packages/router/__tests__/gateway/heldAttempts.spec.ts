import { request as sendRequest, type IncomingMessage, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { addTerms, TRANSIT_PATH } from '../../src/gateway/transitEnvelope.js';
import { answerHeaders, readTermsOf } from './fakePeer.js';
import { EVENTS, formatEvent, SilentService, WHOLE_STREAM } from './silentService.js';

const HELD_MS = 3500;

/** Longer than a held attempt may be kept beside another. */
const SLOW_MS = 1000;

/** Says that its endpoint has the request, and sends the rest of the stream later. */
function sendRestLate(request: IncomingMessage, response: ServerResponse): void {
  response.writeProcessing();
  setTimeout(() => {
    const headers = answerHeaders(request, { serviceId: 'desk', version: 'v1' });
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    const after = Number(readTermsOf(request).lastEventId);
    for (let event = after + 1; event <= EVENTS; event += 1) response.write(formatEvent(event));
    response.end();
  }, SLOW_MS);
}

describe('a held attempt after which none is left', () => {
  itSerial('is not given up for a peer that brings nothing while its endpoint works on', (t) =>
    SilentService.play(
      [() => {}],
      async (service) => {
        Object.assign(service, {
          trouble: (_run: unknown, response: ServerResponse) => {
            setTimeout(() => {
              const headers = { 'x-request': 'held', 'x-mac': 'mac' };
              response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
              response.end(WHOLE_STREAM);
            }, HELD_MS);
            return true;
          },
        });
        service.fallSilent();
        const answer = service.call('/resumed/', { 'x-request': 'held', 'x-remaining': '8000' });
        await sleep(1900);
        service.wake();
        const { isComplete, body } = await answer;
        t.true(isComplete);
        t.is(body, WHOLE_STREAM);
      },
      2,
      { attempts: 2 },
    ),
  );

  itSerial('is given up for a peer that has sent the request to an endpoint', (t) =>
    SilentService.play(
      [sendRestLate],
      async (service) => {
        const answer = service.call('/resumed/', { 'x-remaining': '8000' });
        await service.waitForRun(1, 6);
        service.links.forEach((link) => link.cut('silent'));
        const { isComplete, body } = await answer;
        t.true(isComplete);
        t.is(body, WHOLE_STREAM);
      },
      2,
      { attempts: 2, gapTargetMs: 100 },
    ),
  );
});

describe('a VM that carries a request', () => {
  itSerial('says that it has sent it to an endpoint, before that answers', (t) =>
    SilentService.play([], async (service) => {
      service.fallSilent();
      const terms = { from: 'vm-2', remainingMs: 3000, lastEventId: null, origin: null };
      const headers = ['host', 'desk.example', 'x-request', 'r', 'x-key', 'right-key'];
      const [host, port] = service.vm.control.split(':');
      const request = sendRequest({
        ...{ host, port, method: 'POST', path: `${TRANSIT_PATH}/resumed/` },
        headers: addTerms(headers, terms),
      });
      const said = new Promise((resolve) => {
        request.on('information', ({ statusCode }) => resolve(statusCode));
      });
      request.on('error', () => {}).end();
      await service.waitForRun(1, 0);
      t.is(await said, 102);
      request.destroy();
    }),
  );
});
