import { STATUS_CODES, type ServerResponse } from 'node:http';

import type { StreamOrigin } from '@filbertlatch/core';

import type { RawAnswerHead } from './attempt.js';
import { dropBody } from './dropBody.js';
import type { GatewayState } from './gatewayState.js';
import { dropHopByHopHeaders, dropHeaders, findHeader } from './headers.js';
import { hasWaitingRequests } from './requestQueue.js';

const MS_PER_SECOND = 1000;

/** What an answer says besides what its receiver reads. */
export type AnswerNote =
  | { readonly kind: 'error'; readonly reason: string; readonly retryAfterMs: number | null }
  | { readonly kind: 'answer'; readonly origin: StreamOrigin | null };

/** Writes the answer to one request, for its caller or for the VM that sent it. */
export class CallerAnswer {
  readonly #response: ServerResponse;

  readonly #state: GatewayState;

  readonly #addNote: ((headers: readonly string[], note: AnswerNote) => string[]) | null;

  /** `addNote` adds a note to the headers for a VM; callers get none. */
  constructor(
    response: ServerResponse,
    state: GatewayState,
    addNote: ((headers: readonly string[], note: AnswerNote) => string[]) | null = null,
  ) {
    this.#response = response;
    this.#state = state;
    this.#addNote = addNote;
  }

  /** True when the status has been sent. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /** Tells a VM that its request is sent to an endpoint; callers are told nothing. */
  confirmSend(): void {
    if (this.#addNote === null || this.#response.headersSent || this.#response.destroyed) return;
    this.#response.writeProcessing();
  }

  /**
   * Sends the gateway's own error as JSON, with a retry delay in milliseconds if the caller may
   * retry.
   */
  sendError(status: number, reason: string, retryAfterMs: number | null = null): void {
    if (this.#writeError(status, reason, retryAfterMs, [])) this.#response.end();
  }

  /** Sends the gateway's own error to a request that is not read to its end; its connection closes. */
  sendErrorUnread(status: number, reason: string, retryAfterMs: number | null): void {
    if (this.#writeError(status, reason, retryAfterMs, ['connection', 'close'])) {
      dropBody(this.#response.req, () => this.#response.end());
    }
  }

  /** Writes an error; false when an answer has begun. */
  #writeError(
    status: number,
    reason: string,
    retryAfterMs: number | null,
    headers: readonly string[],
  ): boolean {
    if (this.#response.headersSent || this.#response.destroyed) return false;
    const body = JSON.stringify({ error: { code: reason, retryable: retryAfterMs !== null } });
    const retry =
      retryAfterMs === null ? [] : ['retry-after', (retryAfterMs / MS_PER_SECOND).toFixed(3)];
    this.#writeHead(
      status,
      [
        ...['content-type', 'application/json'],
        ...['content-length', String(Buffer.byteLength(body))],
        ...retry,
        ...headers,
      ],
      { kind: 'error', reason, retryAfterMs },
    );
    this.#response.write(body);
    return true;
  }

  /** Sends an endpoint's complete answer unchanged, without its hop-by-hop headers. */
  forward({ status, headers }: RawAnswerHead, body: Buffer): void {
    if (this.#response.headersSent || this.#response.destroyed) return;
    const kept = dropHopByHopHeaders(headers);
    const hasLength = findHeader(kept, 'content-length') !== null;
    const isBodiless = status === 204 || status === 304;
    const length = hasLength || isBodiless ? [] : ['content-length', String(body.length)];
    this.#writeHead(status, [...kept, ...length], { kind: 'answer', origin: null });
    this.#response.end(body);
  }

  /** Sends the status and headers of an answer that is forwarded as a stream. */
  beginStream({ status, headers }: RawAnswerHead, origin: StreamOrigin | null): void {
    const kept = dropHopByHopHeaders(headers);
    const unsized = dropHeaders(kept, (name) => name === 'content-length');
    this.#writeHead(status, unsized, { kind: 'answer', origin });
    this.#response.flushHeaders();
  }

  /** Breaks off an answer that has begun; its receiver can tell that from its end. */
  breakOff(): void {
    const { req: request, socket } = this.#response;
    // Without chunks the end of the connection is that of the answer, so only a reset tells.
    if (request.httpVersion === '1.0') socket?.resetAndDestroy();
    this.#response.destroy();
  }

  #writeHead(status: number, headers: readonly string[], note: AnswerNote): void {
    const mustClose =
      this.#state.isLeaving &&
      !hasWaitingRequests(this.#response.socket) &&
      findHeader(headers, 'connection') === null;
    const close = mustClose ? ['connection', 'close'] : [];
    const noted = this.#addNote === null ? headers : this.#addNote(headers, note);
    this.#response.writeHead(status, STATUS_CODES[status], [...noted, ...close]);
  }
}
