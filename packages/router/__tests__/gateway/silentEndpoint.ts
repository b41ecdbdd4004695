import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger } from '@filbertlatch/core';

import { startEndpoint, type TestEndpoint } from './fixtures.js';

const EVENTS = 20;
const EVENT_INTERVAL_MS = 40;
/** Some requests have run for long, and are given up, when a silence begins. */
const MAX_RUN_MS = 700;
/** An endpoint that a test silences: its host opens connections, and nothing answers. */
export class SilentEndpoint {
  endpoint!: TestEndpoint;

  readonly #random = createRandom(1);

  #silence: Promise<void> | null = null;

  #end: (() => void) | null = null;

  async start(id: string): Promise<void> {
    this.endpoint = await startEndpoint(
      id,
      (request, response) => {
        request.resume();
        response.on('error', () => {});
        void this.#run(request, response);
      },
      (_request, response) => {
        response.on('error', () => {});
        void this.#listen().then(() => response.writeHead(200, { 'x-instance': id }).end());
      },
    );
  }

  silence(): void {
    this.#silence = new Promise((resolve) => {
      this.#end = resolve;
    });
  }

  goOn(): void {
    this.#silence = null;
    this.#end?.();
  }

  async #listen(): Promise<void> {
    await this.#silence;
  }

  async #run({ url = '', headers }: IncomingMessage, response: ServerResponse): Promise<void> {
    await this.#listen();
    const answerHeaders = { 'x-request': String(headers['x-request']), 'x-mac': 'mac' };
    if (!url.startsWith('/resumed/')) {
      await sleep(randomInteger(this.#random, MAX_RUN_MS));
      await this.#listen();
      response.writeHead(200, answerHeaders).end('answer');
      return;
    }
    response.writeHead(200, { ...answerHeaders, 'content-type': 'text/event-stream' });
    for (let event = Number(headers['x-after'] ?? 0) + 1; event <= EVENTS; event += 1) {
      response.write(`id: ${event}\n\n`);
      await sleep(EVENT_INTERVAL_MS);
      await this.#listen();
      if (response.destroyed) return;
    }
    response.end();
  }
}
