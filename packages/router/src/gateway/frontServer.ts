import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { now } from '../clock.js';
import { admitCall } from './admitCall.js';
import { sendOwnAnswer } from './callerAnswer.js';
import { Exchange } from './exchange.js';
import type { GatewayContext } from './gatewayContext.js';
import { readBody } from './readBody.js';

/** Bounds until a configuration tells others. */
const FIRST_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

/** Idle connections are kept longer than callers reuse them, so that no request crosses a close. */
const IDLE_MARGIN = 1.2;

/** How often connections that take too long over their headers are looked for. */
const CONNECTION_CHECK_MS = 500;

async function serve(
  context: GatewayContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const arrivedAt = now();
  const { state, metrics, log } = context;
  const limits = state.routing.configuration?.limits ?? FIRST_LIMITS;
  const reading = await readBody(request, limits.maxBodyBytes);
  if (reading.kind === 'cut') {
    metrics.countRequest('none', 'cut');
    return;
  }
  if (reading.kind === 'too-large') {
    metrics.countRequest('none', 'too_large');
    sendOwnAnswer(response, state, 413, 'body_too_large');
    request.resume();
    return;
  }
  const admitted = admitCall(context, request, arrivedAt);
  if (admitted.kind === 'rejected') {
    const { status, reason, retryAfterMs, routeId } = admitted;
    metrics.countRequest(routeId, reason);
    const configuration = state.routing.configuration?.version ?? null;
    log.decision('request_rejected', { status, reason, routeId, configuration });
    sendOwnAnswer(response, state, status, reason, retryAfterMs);
    return;
  }
  new Exchange(context, admitted, request, response, reading.body, arrivedAt).start();
}

/** The server that callers connect to. */
export class FrontServer {
  readonly #server: Server;

  readonly #context: GatewayContext;

  #open = 0;

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#server = createServer(
      {
        maxHeaderSize: FIRST_LIMITS.maxHeaderBytes,
        keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs * IDLE_MARGIN,
        headersTimeout: FIRST_LIMITS.headerTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
        noDelay: true,
      },
      (request, response) => this.#serve(request, response),
    );
  }

  /** Requests that have no final answer yet. */
  get openRequests(): number {
    return this.#open;
  }

  /** Starts to listen. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Uses the limits of the configuration in force for new connections. */
  useLimits(): void {
    const limits = this.#context.state.routing.configuration?.limits;
    if (limits === undefined) return;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs * IDLE_MARGIN;
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

  #serve(request: IncomingMessage, response: ServerResponse): void {
    this.#open += 1;
    response.sendDate = false;
    response.on('close', () => {
      this.#open -= 1;
      // An answer that began before the VM was to leave did not announce the end.
      if (this.#context.state.isLeaving) request.socket.destroySoon();
    });
    response.on('error', () => {
      // The caller's connection broke; `close` follows and ends the exchange.
    });
    serve(this.#context, request, response).catch((error: unknown) => {
      this.#context.log.warn('request_crashed', { error: String(error) });
      sendOwnAnswer(response, this.#context.state, 500, 'internal');
    });
  }
}
