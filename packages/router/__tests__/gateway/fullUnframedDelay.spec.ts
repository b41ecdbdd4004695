import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { call, createSource, startEndpoint, startGateway, testConfiguration } from './fixtures.js';
import { installTurnClock } from './turnClock.js';
import { formatWholeAnswer, sendUnframedAnswer } from './unframedEndpoint.js';

// Callers, gateway and endpoints share one event loop: a standstill of it would count as a delay.
installTurnClock();

const PATHS = ['/plain/', '/safe/', '/stream/', '/resumed/'];

const ENDPOINTS = 3;
const SLOTS = 4;
const PART_GAP_MS = 15;
const CALLERS = 36;
const REQUESTS = 360;

/** Sends requests from more callers than endpoints have slots, and returns what they saw. */
async function playFullFleet() {
  const endedAt = new Map<string, number>();
  const endpoints = await Promise.all(
    Array.from({ length: ENDPOINTS }, (_, index) => {
      let running = 0;
      return startEndpoint(
        `e${index}`,
        (request, response) => {
          void (async () => {
            while (running === SLOTS) await sleep(2);
            running += 1;
            const sending = { gapMs: PART_GAP_MS, isOver: () => false };
            const isWhole = await sendUnframedAnswer(request, response, sending);
            running -= 1;
            const lastByteAt = performance.now() - PART_GAP_MS;
            if (isWhole) endedAt.set(String(request.headers['x-request']), lastByteAt);
          })();
        },
        // It waits for a slot behind all requests.
        () => {},
      );
    }),
  );
  const listed = endpoints.map(({ endpoint }) => endpoint);
  const { gateway, callers } = await startGateway(createSource(testConfiguration, listed));
  const delaysMs: number[] = [];
  let sent = 0;
  const work = async () => {
    while (sent < REQUESTS) {
      sent += 1;
      const id = `request-${sent}`;
      const path = PATHS[sent % PATHS.length]!;
      const options = { method: 'POST', headers: { 'x-request': id } };
      const answer = await call(callers, path, options).catch(() => null);
      const isWhole = answer?.isComplete === true && answer.body === formatWholeAnswer(path);
      if (isWhole) delaysMs.push(performance.now() - endedAt.get(id)!);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, work));
  gateway.stop();
  endpoints.forEach((endpoint) => endpoint.close());
  return { ended: endedAt.size, delaysMs: delaysMs.sort((a, b) => a - b) };
}

describe('an answer without length and chunks of endpoints whose slots are all taken', () => {
  itSerial('reaches its caller whole, and soon after its last byte', async (t) => {
    const { ended, delaysMs } = await playFullFleet();
    const p95Ms = delaysMs[Math.floor(0.95 * delaysMs.length)]!;
    t.log(JSON.stringify({ ended, whole: delaysMs.length, p95Ms: Math.round(p95Ms) }));
    t.true(ended >= 0.9 * REQUESTS);
    t.true(delaysMs.length >= 0.98 * ended);
    t.true(p95Ms <= 250);
  });
});
