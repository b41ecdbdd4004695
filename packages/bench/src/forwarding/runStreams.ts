import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger } from '@filbertlatch/core';
import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js';
import { Agent, type Dispatcher } from 'undici';

import type { StreamLoad, StreamResult } from './workerMessages.js';

const NS_PER_US = 1000;
const MS_PER_SECOND = 1000;
const MAX_LATENCY_US = 60_000_000;
const RETRY_DELAY_MS = 100;

/** Returns the monotonic clock of the host, which the engines' time stamps use too. */
function readClockUs(): number {
  return Number(process.hrtime.bigint()) / NS_PER_US;
}

/** Counts the token events that reach the callers and records their latencies. */
class EventTally {
  readonly latencies: Histogram = build({
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });

  events = 0;

  failures = 0;

  isMeasuring = false;

  /** Records the events in a part of a stream; `created` is the time at which the engine wrote it. */
  record(text: string): void {
    if (!this.isMeasuring) return;
    const now = readClockUs();
    for (const [, created] of text.matchAll(/"created":(\d+)[^\n]*"content":/g)) {
      this.events += 1;
      this.latencies.recordValue(Math.max(0, Math.round(now - Number(created))));
    }
  }
}

/** Sends one request and reads its stream to the end; resolves to whether it succeeded. */
function runStream(
  agent: Agent,
  tally: EventTally,
  options: Dispatcher.DispatchOptions,
): Promise<boolean> {
  return new Promise((resolve) => {
    let status = 0;
    agent.dispatch(options, {
      // Without this method undici takes the handler for one of its older interface.
      onRequestStart: () => {},
      onResponseStart: (_controller, statusCode) => {
        status = statusCode;
      },
      // An event that is split over two reads may go uncounted.
      onResponseData: (_controller, bytes) => tally.record(bytes.toString('latin1')),
      onResponseEnd: () => resolve(status === 200),
      onResponseError: () => resolve(false),
    });
  });
}

/**
 * Keeps the given number of streams open, each with one request after another; measures after the
 * warm-up and then ends them.
 */
export async function runStreams(load: StreamLoad): Promise<StreamResult> {
  const agent = new Agent({ connections: null, headersTimeout: 0, bodyTimeout: 0 });
  const tally = new EventTally();
  const random = createRandom(load.seed);
  let isStopped = false;

  const keepOpen = async (index: number) => {
    const origin = load.urls[index % load.urls.length]!;
    while (!isStopped) {
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
        // Engines tell streams apart by this id; the router gives each attempt an id of its own.
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
      if (isWhole || isStopped) continue;
      tally.failures += 1;
      await sleep(RETRY_DELAY_MS);
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
  isStopped = true;
  await agent.destroy();
  await Promise.all(streams);
  return {
    events,
    failures,
    seconds,
    latencyHistogram: encodeIntoCompressedBase64(tally.latencies),
  };
}
