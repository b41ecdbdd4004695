import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { Refusal, Request } from '@filbertlatch/core';

import { DONE } from '../endpoints/engineProtocol.js';
import { renameEvent, type StreamEvent } from '../endpoints/streamEvent.js';
import { ContinuedText } from './continuedText.js';
import type { Exchange, Payload, ServiceAnswer } from './exchange.js';
import { refusalBody, refusalHeaders, refusalStatus } from './refusalResponse.js';

/** Passes events on to the caller as they come, as server-sent events. */
export class StreamedExchange implements Exchange {
  readonly request: Request;

  readonly payload: Payload;

  readonly #response: ServerResponse;

  readonly #stallMs: number;

  readonly #continued = new ContinuedText();

  /** A caller that reads nothing for `stallMs` while its answer waits is cut off. */
  constructor(request: Request, payload: Payload, response: ServerResponse, stallMs: number) {
    this.request = request;
    this.payload = payload;
    this.#response = response;
    this.#stallMs = stallMs;
  }

  restart(): void {
    this.#continued.restart();
  }

  writeEvents(arrived: readonly StreamEvent[]): void | Promise<void> {
    const events = this.#continued.takeNew(arrived);
    if (events.length === 0) return undefined;
    this.#begin();
    let text = '';
    for (const event of events) text += `data: ${renameEvent(event, this.request.id)}\n\n`;
    const hasRoom = this.#response.write(text);
    if (hasRoom || this.#response.destroyed) return undefined;
    return this.#waitForRoom();
  }

  // eslint-disable-next-line class-methods-use-this -- a service's answer never comes here
  writeAnswer(_answer: ServiceAnswer): void {
    throw new TypeError('a stream of events cannot take a whole answer');
  }

  finish(): void {
    this.#begin();
    this.#response.end(`data: ${DONE}\n\n`);
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

  #begin(): void {
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
    const stall = setTimeout(() => this.#response.destroy(), this.#stallMs);
    await Promise.race([
      once(this.#response, 'drain', options),
      once(this.#response, 'close', options),
    ]).catch(() => {});
    clearTimeout(stall);
    stop.abort();
  }
}
