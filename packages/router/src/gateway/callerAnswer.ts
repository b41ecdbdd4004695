import { STATUS_CODES, type ServerResponse } from 'node:http';

import type { GatewayState } from './gatewayState.js';
import { dropHopByHopHeaders, dropHeaders, findHeader } from './headers.js';

const MS_PER_SECOND = 1000;

function createCloseHeaders({ isLeaving }: GatewayState): string[] {
  return isLeaving ? ['connection', 'close'] : [];
}

/**
 * Sends the gateway's own error as JSON, with a retry delay in milliseconds if the caller may
 * retry.
 */
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

/** Sends an endpoint's complete answer unchanged, without its hop-by-hop headers. */
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

/** Sends the status and headers of an answer that is forwarded as a stream. */
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
