import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { Refusal, Request } from '@filbertlatch/core';

import { END_OF_STREAM } from '../endpoints/engineProtocol.js';
import { replaceEventId, type StreamEvent } from '../endpoints/streamEvent.js';
import { DeliveredText } from './deliveredText.js';
import type { Exchange, Payload, ServiceAnswer } from './exchange.js';
import { refusalBody, refusalHeaders, refusalStatus } from './refusalResponse.js';

/** An exchange that passes events on to the caller as they arrive, as server-sent events. */
export class StreamedExchange implements Exchange {
  readonly request: Request;

  readonly payload: Payload;

  readonly #response: ServerResponse;

  readonly #stallTimeoutMs: number;

  readonly #delivered = new DeliveredText();

  /** Disconnects a caller that doesn't read for `stallMs` while data waits for it. */
  constructor(request: Request, payload: Payload, response: ServerResponse, stallMs: number) {
    this.request = request;
    this.payload = payload;
    this.#response = response;
    this.#stallTimeoutMs = stallMs;
  }

  restart(): void {
    this.#delivered.restart();
  }

  writeEvents(arrived: readonly StreamEvent[]): void | Promise<void> {
    const events = this.#delivered.takeNew(arrived);
    if (events.length === 0) return undefined;
    this.#sendHeaders();
    let text = '';
    for (const event of events) text += `data: ${replaceEventId(event, this.request.id)}\n\n`;
    const hasRoom = this.#response.write(text);
    if (hasRoom || this.#response.destroyed) return undefined;
    return this.#waitForRoom();
  }

  // eslint-disable-next-line class-methods-use-this -- a plain service is never streamed
  writeAnswer(_answer: ServiceAnswer): void {
    throw new TypeError('a streamed exchange cannot take the answer of a plain service');
  }

  finish(): void {
    this.#sendHeaders();
    this.#response.end(`data: ${END_OF_STREAM}\n\n`);
  }

  refuse(refusal: Refusal): void {
    const body = JSON.stringify(refusalBody(refusal, this.request.id));
    if (this.#response.headersSent) {
      this.#response.end(`event: error\ndata: ${body}\n\n`);
      return;
    }
    this.#response.writeHead(refusalStatus(refusal), refusalHeaders(refusal, this.request.id));
    this.#response.end(body);
  }

  #sendHeaders(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': this.request.id,
    });
  }

  async #waitForRoom(): Promise<void> {
    const stop = new AbortController();
    const options = { signal: stop.signal };
    const stall = setTimeout(() => this.#response.destroy(), this.#stallTimeoutMs);
    await Promise.race([
      once(this.#response, 'drain', options),
      once(this.#response, 'close', options),
    ]).catch(() => {});
    clearTimeout(stall);
    stop.abort();
  }
}
