import { STATUS_CODES, type ServerResponse } from 'node:http';

import type { GatewayState } from './gatewayState.js';
import { dropHopByHopHeaders, dropHeaders, findHeader } from './headers.js';

const MS_PER_SECOND = 1000;

function createCloseHeaders({ isLeaving }: GatewayState): string[] {
  return isLeaving ? ['connection', 'close'] : [];
}

/** Sends an answer of the gateway's own; a 503 tells when to come back. */
export function sendErrorAnswer(
  response: ServerResponse,
  state: GatewayState,
  status: number,
  reason: string,
  retryAfterMs: number | null = null,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify({ error: { code: reason, retryable: retryAfterMs !== null } });
  const retry =
    retryAfterMs === null ? [] : ['retry-after', (retryAfterMs / MS_PER_SECOND).toFixed(3)];
  response.writeHead(status, STATUS_CODES[status], [
    ...['content-type', 'application/json'],
    ...['content-length', String(Buffer.byteLength(body))],
    ...retry,
    ...createCloseHeaders(state),
  ]);
  response.end(body);
}

/** Sends an endpoint's whole answer as it was given. */
export function forwardAnswer(
  response: ServerResponse,
  state: GatewayState,
  status: number,
  headers: readonly string[],
  body: Buffer,
): void {
  if (response.headersSent || response.destroyed) return;
  const kept = dropHopByHopHeaders(headers);
  const hasLength = findHeader(kept, 'content-length') !== null;
  const isBodiless = status === 204 || status === 304;
  const length = hasLength || isBodiless ? [] : ['content-length', String(body.length)];
  response.writeHead(status, STATUS_CODES[status], [
    ...kept,
    ...length,
    ...createCloseHeaders(state),
  ]);
  response.end(body);
}

/** Begins an answer that is passed on event by event. */
export function beginForwardedStream(
  response: ServerResponse,
  state: GatewayState,
  status: number,
  headers: readonly string[],
): void {
  const kept = dropHopByHopHeaders(headers);
  const unsized = dropHeaders(kept, (name) => name === 'content-length');
  response.writeHead(status, STATUS_CODES[status], [...unsized, ...createCloseHeaders(state)]);
  response.flushHeaders();
}
