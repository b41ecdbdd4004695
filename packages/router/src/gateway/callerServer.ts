import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { now } from '../clock.js';
import { admitRequest } from './admitRequest.js';
import { sendErrorAnswer } from './callerAnswer.js';
import { Exchange } from './exchange.js';
import type { GatewayContext } from './gatewayContext.js';
import { readBody } from './readBody.js';

/** Limits until the first configuration is adopted. */
const DEFAULT_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

/**
 * Idle connections are kept this much longer than callers reuse them, so that no request meets a
 * close.
 */
const KEEP_ALIVE_MARGIN_FACTOR = 1.2;

/** Interval at which the header time-out is checked. */
const HEADER_TIMEOUT_CHECK_MS = 500;

async function handleRequest(
  context: GatewayContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const arrivedAt = now();
  const { state, metrics, log } = context;
  const limits = state.routing.configuration?.limits ?? DEFAULT_LIMITS;
  const result = await readBody(request, limits.maxBodyBytes);
  if (result.kind === 'cut') {
    metrics.countRequest('none', 'cut');
    return;
  }
  if (result.kind === 'too-large') {
    metrics.countRequest('none', 'too_large');
    sendErrorAnswer(response, state, 413, 'body_too_large');
    request.resume();
    return;
  }
  const admission = admitRequest(context, request, arrivedAt);
  if (admission.kind === 'rejected') {
    const { status, reason, retryAfterMs, routeId } = admission;
    metrics.countRequest(routeId, reason);
    const configuration = state.routing.configuration?.version ?? null;
    log.decision('request_rejected', { status, reason, routeId, configuration });
    sendErrorAnswer(response, state, status, reason, retryAfterMs);
    return;
  }
  new Exchange(context, admission, request, response, result.body, arrivedAt).start();
}

/** The HTTP server for callers. */
export class CallerServer {
  readonly #server: Server;

  readonly #context: GatewayContext;

  #openRequests = 0;

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#server = createServer(
      {
        maxHeaderSize: DEFAULT_LIMITS.maxHeaderBytes,
        keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs * KEEP_ALIVE_MARGIN_FACTOR,
        headersTimeout: DEFAULT_LIMITS.headerTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_MS,
        noDelay: true,
      },
      (request, response) => this.#handle(request, response),
    );
  }

  /** Number of requests whose response is still open. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Starts to listen; rejects when the address cannot be used. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Applies the time-outs of the current configuration to new connections. */
  applyLimits(): void {
    const limits = this.#context.state.routing.configuration?.limits;
    if (limits === undefined) return;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs * KEEP_ALIVE_MARGIN_FACTOR;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Closes the connections that have no request in progress. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    this.#openRequests += 1;
    response.sendDate = false;
    response.on('close', () => {
      this.#openRequests -= 1;
      // An answer that began before the drain did not announce `connection: close`.
      if (this.#context.state.isLeaving) request.socket.destroySoon();
    });
    response.on('error', () => {
      // The caller's connection failed; `close` follows and ends the exchange.
    });
    handleRequest(this.#context, request, response).catch((error: unknown) => {
      this.#context.log.warn('request_crashed', { error: String(error) });
      sendErrorAnswer(response, this.#context.state, 500, 'internal');
    });
  }
}
