import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { now } from '../clock.js';
import { admitRequest } from './admitRequest.js';
import { sendErrorAnswer } from './callerAnswer.js';
import { Exchange } from './exchange.js';
import type { GatewayContext } from './gatewayContext.js';
import { readBody } from './readBody.js';

/** Bounds until a configuration tells others. */
const DEFAULT_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

/** Idle connections are kept longer than callers reuse them, so that no request crosses a close. */
const KEEP_ALIVE_MARGIN_FACTOR = 1.2;

/** How often connections that take too long over their headers are looked for. */
const HEADER_TIMEOUT_CHECK_MS = 500;

async function handleRequest(
  context: GatewayContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const arrivedAt = now();
  const { state, metrics, log } = context;
  const limits = state.routing.configuration?.limits ?? DEFAULT_LIMITS;
  const reading = await readBody(request, limits.maxBodyBytes);
  if (reading.kind === 'cut') {
    metrics.countRequest('none', 'cut');
    return;
  }
  if (reading.kind === 'too-large') {
    metrics.countRequest('none', 'too_large');
    sendErrorAnswer(response, state, 413, 'body_too_large');
    request.resume();
    return;
  }
  const admitted = admitRequest(context, request, arrivedAt);
  if (admitted.kind === 'rejected') {
    const { status, reason, retryAfterMs, routeId } = admitted;
    metrics.countRequest(routeId, reason);
    const configuration = state.routing.configuration?.version ?? null;
    log.decision('request_rejected', { status, reason, routeId, configuration });
    sendErrorAnswer(response, state, status, reason, retryAfterMs);
    return;
  }
  new Exchange(context, admitted, request, response, reading.body, arrivedAt).start();
}

/** The server that callers connect to. */
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

  /** Requests that have no final answer yet. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Starts to listen. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Uses the limits of the configuration in force for new connections. */
  applyLimits(): void {
    const limits = this.#context.state.routing.configuration?.limits;
    if (limits === undefined) return;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs * KEEP_ALIVE_MARGIN_FACTOR;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Closes the connections on which no request is in progress. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  /** Takes no new connections and closes all. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    this.#openRequests += 1;
    response.sendDate = false;
    response.on('close', () => {
      this.#openRequests -= 1;
      // An answer that began before the VM was to leave did not announce the end.
      if (this.#context.state.isLeaving) request.socket.destroySoon();
    });
    response.on('error', () => {
      // The caller's connection broke; `close` follows and ends the exchange.
    });
    handleRequest(this.#context, request, response).catch((error: unknown) => {
      this.#context.log.warn('request_crashed', { error: String(error) });
      sendErrorAnswer(response, this.#context.state, 500, 'internal');
    });
  }
}
