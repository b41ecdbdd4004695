import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { answerHeaders, fail, readTermsOf } from './fakePeer.js';
import { waitUntil } from './fixtures.js';
import { readMetric } from './threadedVm.js';
import { EVENTS, formatEvent, SilentService, WHOLE_STREAM, type Run } from './silentService.js';

/** Time in which the endpoint before may work on after another goes on. */
const MAX_OVERLAP_MS = 400;

/** Longer than it takes to believe the service lost and the stream stuck. */
const SILENT_MS = 1900;

const STREAM_REQUEST =
  'GET /resumed/ HTTP/1.1\r\nhost: desk.example\r\nx-request: 9\r\nx-key: right-key\r\nx-remaining: 8000\r\n\r\n';

const outOfTouch = fail(503, 'out_of_touch', 0);

/** Sends the rest of a stream as a VM whose endpoint goes on with it. */
function sendRest(request: IncomingMessage, response: ServerResponse): void {
  const after = Number(readTermsOf(request).lastEventId);
  const origin = { serviceId: 'desk', version: 'v1' };
  const headers = { ...answerHeaders(request, origin), 'content-type': 'text/event-stream' };
  response.writeHead(200, headers);
  for (let event = after + 1; event <= EVENTS; event += 1) response.write(formatEvent(event));
  response.end();
}

describe('a stream whose endpoint is silent', () => {
  [1, 2].forEach((endpoints) => {
    itSerial(`goes on when peers have lost its ${endpoints} silent endpoints as well`, (t) =>
      SilentService.play(
        [outOfTouch, outOfTouch],
        async (service) => {
          Object.assign(service, { silentWithin: 7 });
          const answer = service.call('/resumed/', { 'x-remaining': '8000' });
          await service.waitForSilence();
          await sleep(SILENT_MS);
          const asked = service.peers.flatMap(({ requests }) => requests).length;
          service.wake();
          const { body, isComplete } = await answer;
          t.is(await readMetric(service.vm, 'change="regained"'), 1);
          t.true(asked > 0);
          t.true(isComplete);
          t.is(body, WHOLE_STREAM);
          t.is(service.runs.length, 1);
        },
        endpoints,
      ),
    );
  });

  itSerial('is not sent elsewhere while its whole service is silent', (t) =>
    SilentService.play([], async (service) => {
      const answers = Array.from({ length: 6 }, (_, index) =>
        service.call('/resumed/', { 'x-request': `r${index}`, 'x-remaining': '8000' }),
      );
      await service.waitForRun(6, 3);
      service.fallSilent();
      await sleep(SILENT_MS);
      service.wake();
      const bodies = (await Promise.all(answers)).map(({ body }) => body);
      t.deepEqual(new Set(bodies), new Set([WHOLE_STREAM]));
      t.is(service.runs.length, 6);
    }),
  );

  itSerial('is taken over by a peer that answers, and cancelled there within 400 ms', async (t) => {
    let answeredAt = Number.POSITIVE_INFINITY;
    const takeOver = (request: IncomingMessage, response: ServerResponse) => {
      setTimeout(() => {
        answeredAt = performance.now();
        sendRest(request, response);
      }, 100);
    };
    await SilentService.play([takeOver], async (service) => {
      Object.assign(service, { silentWithin: 7 });
      const { body, isComplete } = await service.call('/resumed/', { 'x-remaining': '8000' });
      t.true(isComplete);
      t.is(body, WHOLE_STREAM);
      await waitUntil(() => service.runs[0]!.endedAt !== null);
      const endedAt = service.runs[0]!.endedAt!;
      t.true(endedAt >= answeredAt - 20, 'it was kept until the peer answered');
      t.true(endedAt < answeredAt + MAX_OVERLAP_MS);
    });
  });

  itSerial('is not joined with what a peer answers when it has gone on itself', async (t) => {
    const held: (() => void)[] = [];
    const answerLate = (request: IncomingMessage, response: ServerResponse) => {
      held.push(() => sendRest(request, response));
    };
    await SilentService.play([answerLate], async (service) => {
      const [peer] = service.peers;
      Object.assign(service, { silentWithin: 7 });
      const answer = service.call('/resumed/', { 'x-remaining': '8000' });
      await waitUntil(() => peer!.requests.length > 0);
      const closed = new Promise((resolve) => {
        peer!.requests[0]!.socket.on('close', resolve);
      });
      service.wake();
      await service.waitForRun(1, 9);
      held.forEach((send) => send());
      const { body, isComplete } = await answer;
      t.true(isComplete);
      t.is(body, WHOLE_STREAM);
      t.is(service.runs.length, 1);
      await closed;
    });
  });

  itSerial('goes on elsewhere when others of its service are heard', (t) =>
    SilentService.play([], async (service) => {
      Object.assign(service, {
        trouble: (run: Run) => run === service.runs[0] && run.events >= 6,
      });
      const answer = service.call('/resumed/', { 'x-remaining': '8000' });
      await service.waitForRun(1, 6);
      let isOver = false;
      const others = (async () => {
        for (let sent = 0; !isOver; sent += 1) {
          await service.call('/safe/', { 'x-request': `other-${sent}` });
          await sleep(50);
        }
      })();
      const { body, isComplete } = await answer;
      isOver = true;
      t.true(isComplete);
      t.is(body, WHOLE_STREAM);
      const resumed = service.runs.find(({ after }) => after > 0)!;
      t.is(resumed.after, 6);
      t.true(service.runs[0]!.endedAt! < resumed.at + MAX_OVERLAP_MS);
      await others;
    }),
  );

  itSerial('is left alone while it is its caller that is behind', (t) =>
    SilentService.play([], async (service) => {
      Object.assign(service, { events: 100, paddingBytes: 200_000 });
      const [host, port] = service.vm.callers.split(':');
      const caller = connect(Number(port), host);
      caller.write(STREAM_REQUEST);
      await once(caller, 'readable');
      await sleep(3000);
      const tail = { text: '' };
      caller.on('data', (bytes: Buffer) => {
        tail.text = (tail.text + bytes.toString('latin1')).slice(-5);
      });
      await waitUntil(() => tail.text === '0\r\n\r\n');
      caller.destroy();
      t.is(service.runs.length, 1);
    }),
  );
});
