import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as ConnectionServer, type Socket } from 'node:net';

import { now } from '../clock.js';
import { openServer, type WantedAddress } from '../openAddress.js';

import { splitAddress } from './address.js';
import { CallerAnswer } from './callerAnswer.js';
import type { Arrival } from './callerConnections.js';
import { UNLIMITED, type ConnectionLimits } from './connectionLimits.js';
import { DRAINING_RETRY_AFTER_MS, type DrainedServer } from './drain.js';
import type { GatewayContext } from './gatewayContext.js';
import { DEFAULT_LIMITS, handleRequest } from './handleRequest.js';
import { RequestQueue } from './requestQueue.js';
import { ServerConnections } from './serverConnections.js';

/**
 * Idle connections are kept this much longer than callers reuse them, so that no request meets a
 * close.
 */
const KEEP_ALIVE_MARGIN_FACTOR = 1.2;

/** Interval at which the header time-out is checked. */
const HEADER_TIMEOUT_CHECK_MS = 500;

/** Retry delay told to callers whose connections are too many; the next one goes to another VM. */
const SURPLUS_RETRY_AFTER_MS = 250;

/** A longer turn is a standstill, in which nothing could be accepted. */
const MAX_TURN_MS = 20;

/** The HTTP server for callers. */
export class CallerServer implements DrainedServer {
  readonly #server: Server;

  readonly #context: GatewayContext;

  readonly #connections = new ServerConnections();

  readonly #limits: ConnectionLimits;

  /** Connections that leave too few descriptors for calls to endpoints. */
  readonly #surplus = new WeakSet<Socket>();

  /** Requests whose callers send the body once they are told to. */
  readonly #awaitingContinue = new WeakSet<IncomingMessage>();

  /** Arrivals of the requests that have waited for the one before them on their connection. */
  readonly #arrivals = new WeakMap<IncomingMessage, Arrival>();

  readonly #queue = new RequestQueue(
    (request, response) => this.#handle(request, response),
    (request) => this.#arrivals.set(request, this.#context.callers.readArrival(request.socket)),
  );

  #openRequests = 0;

  #crossedRequests = 0;

  constructor(context: GatewayContext, limits = UNLIMITED) {
    this.#context = context;
    this.#limits = limits;
    this.#server = createServer(
      {
        maxHeaderSize: DEFAULT_LIMITS.maxHeaderBytes,
        keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs * KEEP_ALIVE_MARGIN_FACTOR,
        headersTimeout: DEFAULT_LIMITS.headerTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_MS,
        noDelay: true,
      },
      (request, response) => this.#receive(request, response),
    );
    this.#server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      this.#awaitingContinue.add(request);
      this.#receive(request, response);
    });
    this.#server.on('timeout', (socket: Socket) => this.#closeIdle(socket));
    context.callers.watch(this.#server);
    this.#connections.watch(this.#server);
    this.#server.maxConnections = limits.maxCount;
    this.#server.on('connection', (socket: Socket) => {
      if (this.#connections.count > limits.refusalCount) this.#surplus.add(socket);
    });
  }

  /** Number of requests whose response is still open. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Number of requests that came after their connection had been closed; they were not read. */
  get crossedRequests(): number {
    return this.#crossedRequests;
  }

  /** Number of connections of callers. */
  get connectionCount(): number {
    return this.#connections.count;
  }

  /** True while requests on new connections are refused. */
  get isFull(): boolean {
    return this.#connections.count >= this.#limits.refusalCount;
  }

  /** Listens as soon as the address is free; rejects when it cannot be used. */
  async listen(wanted: WantedAddress): Promise<void> {
    const { host, port } = splitAddress(wanted.address);
    await openServer(this.#server, host, port, wanted);
  }

  /** Applies the time-outs of the current configuration to new connections. */
  applyLimits(): void {
    const limits = this.#context.state.routing.configuration?.limits;
    if (limits === undefined) return;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs * KEEP_ALIVE_MARGIN_FACTOR;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /**
   * Accepts the connections that wait, for `maxMs` without standstills and until `latestAt` at most, and
   * stops listening.
   */
  async stopListening(latestAt: number, maxMs = Infinity): Promise<void> {
    let leftMs = maxMs;
    // The loop accepts one a turn: none waits right after a turn without any.
    do {
      const startedAt = now();
      await this.readArrived();
      leftMs -= Math.min(now() - startedAt, MAX_TURN_MS);
    } while (this.#context.callers.acceptDelayMs > 0 && leftMs > 0 && now() < latestAt);
    // The method of the HTTP server closes connections, too.
    ConnectionServer.prototype.close.call(this.#server);
  }

  /** Resolves directly after what has arrived on its connections is read. */
  readArrived(): Promise<void> {
    return new Promise((resolve) => {
      this.#context.loopDelay.afterPoll(resolve);
    });
  }

  /** True while a part of a request's head has been read. */
  get isReading(): boolean {
    return this.#connections.isReading;
  }

  /** Closes the connections that have no request, no part of one and no answer to write. */
  endIdle(): void {
    this.#connections.endIdle();
  }

  /** Closes the connections that have no request in progress and no answer to write. */
  endUnanswered(): void {
    this.#connections.endUnanswered();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Closes an idle connection, unless a request waits in it that came in time to a late process. */
  #closeIdle(socket: Socket): void {
    // The time-out of an answer is reported here as well.
    if (this.#connections.isAnswering(socket)) return;
    const { bytesRead } = socket;
    this.#context.loopDelay.afterPoll(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    if (!request.socket.writableEnded) this.#connections.add(request.socket, response);
    this.#queue.add(request, response);
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    if (request.socket.writableEnded) {
      this.#crossedRequests += 1;
      request.resume();
      return;
    }
    this.#openRequests += 1;
    response.sendDate = false;
    response.on('close', () => {
      this.#openRequests -= 1;
    });
    response.on('error', () => {
      // The caller's connection failed; `close` follows and ends the exchange.
    });
    const answer = new CallerAnswer(response, this.#context.state);
    const { drain } = this.#context;
    drain.setEnd(response, () => answer.sendError(503, 'leaving', DRAINING_RETRY_AFTER_MS));
    if (this.#surplus.has(request.socket)) {
      this.#refuseSurplus(answer);
      return;
    }
    const awaitsContinue = this.#awaitingContinue.has(request);
    const arrival = this.#arrivals.get(request);
    const received = { request, response, answer, transit: null, awaitsContinue, arrival };
    handleRequest(this.#context, received).catch((error: unknown) => {
      this.#context.log.warn('request_crashed', { error: String(error) });
      answer.sendError(500, 'internal');
    });
  }

  #refuseSurplus(answer: CallerAnswer): void {
    const { log, metrics } = this.#context;
    metrics.countRequest('none', 'overloaded');
    log.decision('request_rejected', { reason: 'overloaded', connections: this.connectionCount });
    answer.sendErrorUnread(503, 'overloaded', SURPLUS_RETRY_AFTER_MS);
  }
}
