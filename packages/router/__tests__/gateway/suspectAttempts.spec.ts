import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { digestText } from '@filbertlatch/core';
import { describe, itSerial } from '@filbertlatch/core/testing';

import { SilentService, type Run } from './silentService.js';

/** Longer than an attempt may be silent that another can replace. */
const ANSWER_MS = 2000;

const fingerprint = digestText('station\nPOST\n/safe/\n');

const told: Readonly<Record<string, () => object>> = {
  'whose request is refused': () => ({ refused: [[fingerprint, Date.now()]] }),
  'whose segments wait for a trial': () => ({
    segmentCrashes: ['x1', 'x2'].map((id, index) => ['a', id, 'desk', index, 100]),
  }),
};

describe('an attempt that is silent', () => {
  Object.entries(told).forEach(([title, createNews]) => {
    itSerial(`is not given up ${title}`, (t) =>
      SilentService.play([() => {}], async (service) => {
        Object.assign(service, {
          trouble: (run: Run, response: ServerResponse) => {
            setTimeout(() => {
              const headers = { 'x-request': 'slow', 'x-mac': 'mac' };
              response.writeHead(200, headers).end(run.endpointId);
            }, ANSWER_MS);
            return true;
          },
        });
        const headers = { 'x-request': 'slow', 'x-segments': 'a,b', 'x-remaining': '6000' };
        const answer = service.call('/safe/', headers);
        await sleep(200);
        Object.assign(service.peers[0]!, { news: createNews() });
        const { status, body } = await answer;
        t.is(status, 200);
        t.is(body, service.runs[0]!.endpointId);
        t.is(service.runs.length, 1);
      }),
    );
  });

  itSerial('is given up for a trial when its endpoint has ended', (t) =>
    SilentService.play([() => {}], async (service) => {
      const headers = { 'x-request': 'r', 'x-segments': 'a,b', 'x-remaining': '6000' };
      Object.assign(service, { trouble: (run: Run) => run === service.runs[0] });
      const answer = service.call('/safe/', headers);
      const { endpointId } = await service.waitForRun(1, 0);
      service.links[Number(endpointId.slice(1))]!.cut('silent');
      Object.assign(service.peers[0]!, { news: told['whose segments wait for a trial']!() });
      const { status } = await answer;
      t.is(status, 200);
    }),
  );

  itSerial('is given up when another may be sent at once', (t) =>
    SilentService.play([], async (service) => {
      Object.assign(service, { trouble: (run: Run) => run === service.runs[0] });
      const { status } = await service.call('/safe/', { 'x-segments': 'a,b' });
      t.is(status, 200);
      t.is(service.runs.length, 2);
    }),
  );
});
