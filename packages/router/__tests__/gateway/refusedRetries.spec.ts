import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { fail } from './fakePeer.js';
import { waitUntil } from './fixtures.js';
import { pause, SilentService, WHOLE_STREAM, type Run } from './silentService.js';

const outOfTouch = fail(503, 'out_of_touch', 0);

/** Breaks the first run off after some events, and pauses its service for some time. */
function breakFirst(service: SilentService, events: number, pauseMs: number): void {
  let until: number | null = null;
  const isFirst = (run: Run) => run === service.runs[0];
  Object.assign(service, {
    trouble: (run: Run, response: ServerResponse) => {
      if (isFirst(run) && run.events >= events) {
        until ??= performance.now() + pauseMs;
        response.socket?.resetAndDestroy();
        return true;
      }
      if (isFirst(run) || performance.now() >= (until ?? 0)) return false;
      pause(response, until!);
      return true;
    },
  });
}

const PLAIN_REQUEST =
  'GET /safe/ HTTP/1.1\r\nhost: desk.example\r\nx-request: 9\r\nx-key: right-key\r\n\r\n';

describe('a request that may have run, and that nothing takes at the moment', () => {
  itSerial('a stream goes on when its endpoints take requests again', (t) =>
    SilentService.play([], async (service) => {
      breakFirst(service, 5, 700);
      const { body, isComplete } = await service.call('/resumed/');
      t.true(isComplete);
      t.is(body, WHOLE_STREAM);
    }),
  );

  itSerial('a stream goes on when links are back that peers have lost as well', (t) =>
    SilentService.play([outOfTouch, outOfTouch], async (service) => {
      const answer = service.call('/resumed/');
      await service.waitForRun(1, 5);
      service.links.forEach((link) => link.cut('reset'));
      await sleep(900);
      await Promise.all(service.links.map((link) => link.heal()));
      const { body, isComplete } = await answer;
      t.true(isComplete);
      t.is(body, WHOLE_STREAM);
    }),
  );

  itSerial('a repeatable one is answered when endpoints take requests again', (t) =>
    SilentService.play([], async (service) => {
      breakFirst(service, 0, 700);
      const { status, body } = await service.call('/safe/');
      t.is(status, 200);
      t.is(body, 'answer');
    }),
  );

  itSerial('is told at its deadline that it may have run', (t) =>
    SilentService.play([], async (service) => {
      breakFirst(service, 0, 5000);
      const startedAt = performance.now();
      const { status } = await service.call('/safe/', { 'x-remaining': '900' });
      t.true([502, 504].includes(status), String(status));
      t.true(performance.now() - startedAt > 700);
    }),
  );

  itSerial('is told at the end of the drain that it may have run', (t) =>
    SilentService.play([], async (service) => {
      breakFirst(service, 0, 9000);
      const answer = service.call('/safe/', { 'x-remaining': '8000' });
      await service.waitForRun(1, 0);
      await sleep(200);
      const startedAt = performance.now();
      const drained = service.vm.gateway.drain();
      t.is((await answer).status, 504);
      t.true(performance.now() - startedAt > 2000);
      await drained;
    }),
  );

  itSerial('is not sent again after its caller has left', (t) =>
    SilentService.play([], async (service) => {
      breakFirst(service, 0, 600);
      const [host, port] = service.vm.callers.split(':');
      const caller = connect(Number(port), host);
      caller.write(PLAIN_REQUEST);
      await waitUntil(() => service.runs.length >= 2);
      await sleep(50);
      caller.destroy();
      const count = service.runs.length;
      await sleep(1200);
      t.is(service.runs.length, count);
    }),
  );

  itSerial('ends at once when its attempts are used up', (t) =>
    SilentService.play([], async (service) => {
      Object.assign(service, {
        trouble: (run: Run, response: ServerResponse) => {
          if (run.events === 0) return false;
          response.socket?.resetAndDestroy();
          return true;
        },
      });
      const startedAt = performance.now();
      t.false((await service.call('/resumed/')).isComplete);
      t.true(service.runs.length <= 3);
      t.true(performance.now() - startedAt < 1500);
    }),
  );

  itSerial('one that has not run is refused early, as not run', (t) =>
    SilentService.play([], async (service) => {
      Object.assign(service, {
        trouble: (_run: Run, response: ServerResponse) => {
          pause(response, performance.now() + 2000);
          return true;
        },
      });
      const startedAt = performance.now();
      const { status, headers } = await service.call('/safe/');
      t.is(status, 503);
      t.truthy(headers['retry-after']);
      t.true(performance.now() - startedAt < 1000);
    }),
  );
});
