import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger } from '@filbertlatch/core';
import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js';
import { Agent, type Dispatcher } from 'undici';

import type { StreamLoad, StreamResult } from './protocol.js';

const NS_PER_US = 1000;
const MS_PER_SECOND = 1000;
const LONGEST_US = 60_000_000;
const RETRY_MS = 100;

function readClock(): number {
  return Number(process.hrtime.bigint()) / NS_PER_US;
}

/** Counts the events that reach the callers and how long each was on its way. */
class Tally {
  readonly latencies: Histogram = build({
    highestTrackableValue: LONGEST_US,
    numberOfSignificantValueDigits: 3,
  });

  events = 0;

  failures = 0;

  isMeasuring = false;

  read(text: string): void {
    if (!this.isMeasuring) return;
    const now = readClock();
    for (const [, created] of text.matchAll(/"created":(\d+)[^\n]*"content":/g)) {
      this.events += 1;
      this.latencies.recordValue(Math.max(0, Math.round(now - Number(created))));
    }
  }
}

/** Sends one request and reads its stream; resolves when it has ended, however that was. */
function runStream(
  agent: Agent,
  tally: Tally,
  options: Dispatcher.DispatchOptions,
): Promise<boolean> {
  return new Promise((resolve) => {
    let status = 0;
    agent.dispatch(options, {
      // undici takes a handler without it for one of its older kind.
      onRequestStart: () => {},
      onResponseStart: (_controller, statusCode) => {
        status = statusCode;
      },
      // An event may be split over two reads: its first part then goes uncounted.
      onResponseData: (_controller, bytes) => tally.read(bytes.toString('latin1')),
      onResponseEnd: () => resolve(status === 200),
      onResponseError: () => resolve(false),
    });
  });
}

/** Keeps so many streams open, one request after another, and measures for a while. */
export async function runStreams(load: StreamLoad): Promise<StreamResult> {
  const agent = new Agent({ connections: null, headersTimeout: 0, bodyTimeout: 0 });
  const tally = new Tally();
  const random = createRandom(load.seed);
  let isOver = false;

  const keepOpen = async (index: number) => {
    const origin = load.urls[index % load.urls.length]!;
    while (!isOver) {
      const body = JSON.stringify({
        model: load.model,
        messages: [{ role: 'user', content: 'x'.repeat(400) }],
        stream: true,
        standin: { tokens: 1 + randomInteger(random, 2 * load.meanTokens) },
      });
      const headers = {
        authorization: `Bearer ${load.apiKey}`,
        'filbertlatch-class': load.className,
        'content-type': 'application/json',
        // The engines tell streams apart by it; the router gives each attempt its own.
        'x-request-id': randomUUID(),
      };
      const path = '/v1/chat/completions';
      const isWhole = await runStream(agent, tally, {
        origin,
        path,
        method: 'POST',
        headers,
        body,
      });
      if (isWhole || isOver) continue;
      tally.failures += 1;
      await sleep(RETRY_MS);
    }
  };
  const streams = Array.from({ length: load.streams }, (_, index) => keepOpen(index));
  await sleep(load.warmupMs);
  tally.isMeasuring = true;
  const start = performance.now();
  await sleep(load.measureMs);
  tally.isMeasuring = false;
  const seconds = (performance.now() - start) / MS_PER_SECOND;
  const { events, failures } = tally;
  isOver = true;
  await agent.destroy();
  await Promise.all(streams);
  return { events, failures, seconds, latencies: encodeIntoCompressedBase64(tally.latencies) };
}
