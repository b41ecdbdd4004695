import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { RegisteredEndpoint } from '@filbertlatch/core';

import { startEndpoint, type TestEndpoint } from './fixtures.js';

/** Events of each stream. */
export const EVENTS = 4;

/** One request as it reached an endpoint; instants in milliseconds of the main thread's clock. */
export interface Arrival {
  readonly requestId: string;
  readonly at: number;
  /** Time that was handed on, in milliseconds. */
  readonly handedMs: number;
  /** Instant of the end of the answer; null before. */
  answeredAt: number | null;
}

/** An endpoint that records what reaches it, and answers after a while. */
export class LateEndpoint {
  readonly arrivals: Arrival[] = [];

  readonly #runMs: number;

  #endpoint!: TestEndpoint;

  private constructor(runMs: number) {
    this.#runMs = runMs;
  }

  /** Starts an endpoint whose answers take the given time. */
  static async start(id: string, runMs: number): Promise<LateEndpoint> {
    const started = new LateEndpoint(runMs);
    started.#endpoint = await startEndpoint(id, (request, response) => {
      request.resume();
      void started.#run(request, response);
    });
    return started;
  }

  /** What the gateway knows of it. */
  get registered(): RegisteredEndpoint {
    return { ...this.#endpoint.endpoint, slots: 64 };
  }

  /** Stops it. */
  stop(): void {
    this.#endpoint.close();
  }

  async #run({ headers, url = '' }: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = String(headers['x-request']);
    const handedMs = Number(headers['x-remaining']);
    const arrival: Arrival = { requestId, handedMs, at: performance.now(), answeredAt: null };
    this.arrivals.push(arrival);
    response.on('finish', () => {
      arrival.answeredAt = performance.now();
    });
    const answerHeaders = { 'x-request': requestId, 'x-mac': 'mac' };
    if (!url.startsWith('/resumed/') && !url.startsWith('/stream/')) {
      await sleep(this.#runMs);
      response.writeHead(200, answerHeaders).end('answer');
      return;
    }
    response.writeHead(200, { ...answerHeaders, 'content-type': 'text/event-stream' });
    for (let event = Number(headers['x-after'] ?? 0) + 1; event <= EVENTS; event += 1) {
      response.write(`id: ${event}\n\n`);
      await sleep(this.#runMs / EVENTS);
      if (response.destroyed) return;
    }
    response.end();
  }
}
