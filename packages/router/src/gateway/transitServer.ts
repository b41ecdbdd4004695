import type { IncomingMessage, ServerResponse } from 'node:http';

import type { GatewayContext } from './gatewayContext.js';
import { handleRequest } from './handleRequest.js';
import { CallerAnswer } from './callerAnswer.js';
import { DRAINING_RETRY_AFTER_MS } from './drain.js';
import { addNote, readTerms, removeEnvelope, TRANSIT_PATH } from './transitEnvelope.js';

/** Requests that this VM carries for others at a time; it has callers of its own. */
const MAX_OPEN_TRANSITS = 256;

const BUSY_RETRY_AFTER_MS = 250;

/** Says whether a request to the control address is one that another VM sends by way of this one. */
export function isTransit({ url = '' }: IncomingMessage): boolean {
  return url.startsWith(`${TRANSIT_PATH}/`);
}

/** Restores a request as the caller sent it. */
function unwrapRequest(request: IncomingMessage): void {
  const headers = removeEnvelope(request.rawHeaders);
  Object.assign(request, { url: request.url!.slice(TRANSIT_PATH.length), rawHeaders: headers });
}

/** Handles the requests that other VMs send by way of this one. */
export class TransitServer {
  readonly #context: GatewayContext;

  #openRequests = 0;

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Number of requests whose response is still open. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Handles a request; the caller's key and route are checked as those of any other. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const { drain, log, metrics, state } = this.#context;
    response.sendDate = false;
    response.on('error', () => {
      // The sender's connection failed; `close` follows and ends the exchange.
    });
    const answer = new CallerAnswer(response, state, addNote);
    const transit = readTerms(request.rawHeaders);
    if (transit === null) {
      log.decision('transit_unreadable', {});
      answer.sendError(400, 'malformed_transit');
      request.resume();
      return;
    }
    if (this.#openRequests >= MAX_OPEN_TRANSITS) {
      metrics.countTransit('carried', 'busy');
      answer.sendError(503, 'busy', BUSY_RETRY_AFTER_MS);
      request.resume();
      return;
    }
    this.#openRequests += 1;
    response.on('close', () => {
      this.#openRequests -= 1;
      metrics.countTransit('carried', response.writableFinished ? 'answered' : 'broken');
    });
    drain.setEnd(response, () => answer.sendError(503, 'leaving', DRAINING_RETRY_AFTER_MS));
    unwrapRequest(request);
    const received = { request, response, answer, transit, awaitsContinue: false };
    handleRequest(this.#context, received).catch((error: unknown) => {
      log.warn('request_crashed', { error: String(error) });
      answer.sendError(500, 'internal');
    });
  }
}
