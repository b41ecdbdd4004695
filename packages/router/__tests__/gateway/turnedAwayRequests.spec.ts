import type { ServerResponse } from 'node:http';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { serve } from './fakePeer.js';
import { waitUntil } from './fixtures.js';
import { SilentService, type Run } from './silentService.js';
import { readMetric } from './threadedVm.js';

const REQUESTS = 120;
const ENDPOINTS = 20;

/** Retries that the settings allow within the time of the test. */
const MAX_RETRIES = 0.2 * (2 * REQUESTS + 10) + 50;

const headersOf = ({ req }: ServerResponse) => ({ 'x-request': String(req.headers['x-request']) });

function turnAway(response: ServerResponse): void {
  response.writeHead(503, { ...headersOf(response), 'x-not-run': '1' }).end();
}

describe('requests that endpoints turn away when their links are lost', () => {
  itSerial('are not repeated by way of peers beyond the retry budget', (t) =>
    SilentService.play(
      [serve],
      async (service) => {
        const waiting: ServerResponse[] = [];
        let isTurningAway = false;
        Object.assign(service, {
          trouble: (_run: Run, response: ServerResponse) => {
            if (isTurningAway) turnAway(response);
            else waiting.push(response);
            return true;
          },
        });
        const callAll = (name: string) =>
          Array.from({ length: REQUESTS }, (_, index) =>
            service.call('/plain/', { 'x-request': `${name}${index}`, 'x-remaining': '5000' }),
          );
        // The answers on new connections, which are signs of links, come before the loss.
        const firstAnswers = callAll('a');
        await waitUntil(() => waiting.length === REQUESTS);
        waiting.splice(0).forEach((response) => {
          response.writeHead(200, { ...headersOf(response), 'x-mac': 'mac' }).end('answer');
        });
        await Promise.all(firstAnswers);
        const answers = callAll('b');
        await waitUntil(() => waiting.length === REQUESTS);
        service.links.forEach((link) => link.cut('refuse'));
        await waitUntil(async () => {
          await service.call('/open/', { 'x-request': 'first', 'x-remaining': '100' });
          return (await readMetric(service.vm, 'change="lost"')) > 0;
        });
        const [peer] = service.peers;
        peer!.requests.splice(0);
        const runs = service.runs.length;
        isTurningAway = true;
        waiting.forEach(turnAway);
        const statuses = (await Promise.all(answers)).map(({ status }) => status);
        const repeated = peer!.requests.length + service.runs.length - runs;
        t.log(`${repeated} of ${REQUESTS} repeated`);
        t.true(repeated > 0);
        t.true(repeated <= MAX_RETRIES);
        t.true(statuses.every((status) => status === 200 || status === 503));
      },
      ENDPOINTS,
    ),
  );
});
