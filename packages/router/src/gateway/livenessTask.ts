import { isTakingRequests, type RegisteredEndpoint } from '@filbertlatch/core';
import { buildConnector } from 'undici';

import { now } from '../clock.js';
import { splitAddress } from './address.js';
import { createCheckClient } from './checkClient.js';
import type { ConnectionTable } from './connectionTable.js';
import type { Dialect } from './dialect.js';
import { PinnedConnection, type PinnedAnswer } from './pinnedConnection.js';
import { ANSWER_TIMEOUT_MS, checkEnd, checkPort, type EndFinding } from './endCheck.js';
import type { EndpointTerms } from './endpointTerms.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { GatewayState } from './gatewayState.js';
import type { LoopDelay } from './loopDelay.js';
import { SilenceTimer } from './silenceTimer.js';

/**
 * What a check tells of an endpoint: it answers; its port is open, but nothing answers in time; it has
 * ended; it has ended and was leaving; none of these can be shown in time.
 */
export type Liveness = 'alive' | 'open' | 'ended' | 'left' | 'unknown';

/** What a check has shown of an endpoint. */
export interface EndCheck {
  readonly liveness: Liveness;
  /** The connection whose process it has shown to live; null when it may be another's. */
  readonly pinned: PinnedConnection | null;
}

/** Time in which checks of an endpoint are gathered into one. */
const GATHER_MS = 5;

/** Time between the ends of connections that one crash ends. */
const CRASH_SPREAD_MS = 50;

/** Shortest time between the openings of two pinned connections of an endpoint, in milliseconds. */
const REOPEN_MS = 1000;

/** Time in which bytes arrive that an endpoint sent before a link was cut, in milliseconds. */
const IN_FLIGHT_MS = 100;

function isOfLifetime(
  { endpoint }: PinnedConnection,
  { address, startedAt }: RegisteredEndpoint,
): boolean {
  return endpoint.address === address && endpoint.startedAt === startedAt;
}

/**
 * Finds out whether an endpoint has outlived an answer that ended with its connection. A crash closes
 * connections as the end of an answer does, but also the endpoint's port.
 */
export class LivenessTask {
  readonly #state: GatewayState;

  readonly #dialect: Dialect;

  readonly #connections: ConnectionTable;

  readonly #terms: EndpointTerms;

  readonly #loopDelay: LoopDelay;

  readonly #metrics: GatewayMetrics;

  readonly #log: GatewayLog;

  /** Checks that have not begun, by endpoint id. */
  readonly #gathered = new Map<string, Promise<EndCheck>>();

  /** Pinned connections to endpoints whose answers have no length, by endpoint id. */
  readonly #pinned = new Map<string, PinnedConnection>();

  constructor(
    state: GatewayState,
    dialect: Dialect,
    connections: ConnectionTable,
    terms: EndpointTerms,
    loopDelay: LoopDelay,
    metrics: GatewayMetrics,
    log: GatewayLog,
  ) {
    this.#state = state;
    this.#dialect = dialect;
    this.#connections = connections;
    this.#terms = terms;
    this.#loopDelay = loopDelay;
    this.#metrics = metrics;
    this.#log = log;
  }

  /**
   * Pins a connection to the process of an endpoint, unless one was opened just now. One that is open is
   * kept from being closed as idle.
   */
  pin(endpoint: RegisteredEndpoint): void {
    const current = this.findPinned(endpoint);
    if (current !== null) {
      current.keep();
      if (current.isIdleForLong && this.#mayAsk(endpoint)) void this.#ask(current);
      return;
    }
    const known = this.#pinned.get(endpoint.id);
    if (known !== undefined && now() - known.openedAt < REOPEN_MS) return;
    if (!this.#mayAsk(endpoint)) return;
    known?.close();
    const pinned = new PinnedConnection(endpoint, this.#dialect, this.#loopDelay);
    this.#pinned.set(endpoint.id, pinned);
    void this.#ask(pinned);
  }

  /** Returns the open connection to the process of a lifetime of an endpoint; null without one. */
  findPinned(endpoint: RegisteredEndpoint): PinnedConnection | null {
    const pinned = this.#pinned.get(endpoint.id);
    return pinned?.isOpen === true && isOfLifetime(pinned, endpoint) ? pinned : null;
  }

  /**
   * Returns a time at which the process behind a pinned connection lived: it has answered there, or, since a
   * full one answers late, the endpoint was heard elsewhere after the connection had opened. Null if none is known.
   */
  reachedAt({ answeredAt, connectedAt, endpoint }: PinnedConnection): number | null {
    if (answeredAt !== null || connectedAt === null) return answeredAt;
    const aliveAt = this.#connections.lastAliveAt(endpoint.id);
    return aliveAt >= connectedAt + IN_FLIGHT_MS ? aliveAt : null;
  }

  /** Forgets the pinned connections that are closed, also by this end when nothing uses them any more. */
  forgetClosed(): void {
    this.#pinned.forEach((pinned, id) => {
      if (!pinned.isOpen && now() - pinned.openedAt >= REOPEN_MS) this.#pinned.delete(id);
    });
  }

  /** Closes all pinned connections. */
  close(): void {
    this.#pinned.forEach((pinned) => pinned.close());
    this.#pinned.clear();
  }

  #ask(pinned: PinnedConnection): Promise<PinnedAnswer> {
    this.#terms.limits.recordSend(pinned.endpoint.id);
    return pinned.ask(this.#findHealthPath(pinned.endpoint), ANSWER_TIMEOUT_MS);
  }

  #findHealthPath({ serviceId }: RegisteredEndpoint): string {
    const { configuration } = this.#state.routing;
    return configuration?.services.get(serviceId)?.healthPath ?? '/';
  }

  /** Checks an endpoint now; never rejects. */
  check(endpoint: RegisteredEndpoint): Promise<EndCheck> {
    const gathered = this.#gathered.get(endpoint.id);
    if (gathered !== undefined) return gathered;
    const askedAt = now();
    const check = new Promise<EndCheck>((resolve) => {
      setTimeout(() => {
        this.#gathered.delete(endpoint.id);
        void this.#run(endpoint, askedAt).then(resolve);
      }, GATHER_MS);
    });
    this.#gathered.set(endpoint.id, check);
    return check;
  }

  async #run(endpoint: RegisteredEndpoint, askedAt: number): Promise<EndCheck> {
    const pinned = this.findPinned(endpoint);
    const mayAskPinned = pinned !== null && this.#mayAsk(endpoint);
    const pinnedAnswer = mayAskPinned ? await this.#ask(pinned) : null;
    const finding =
      pinnedAnswer === 'answered'
        ? 'alive'
        : await checkEnd(
            (timeoutMs, wasReset) => this.#connect(endpoint, timeoutMs, wasReset),
            askedAt,
          );
    const isPlanned = finding === 'ended' && !isTakingRequests(this.#state.directory, endpoint.id);
    const hasCrashed = this.#connections.lastBrokenAt(endpoint.id) > askedAt - CRASH_SPREAD_MS;
    const liveness = isPlanned && !hasCrashed ? 'left' : (finding ?? 'unknown');
    this.#metrics.countLivenessCheck(liveness);
    this.#log.decision('endpoint_checked', {
      endpointId: endpoint.id,
      liveness,
      pinnedAnswer,
      isPlanned,
      startedAt: endpoint.startedAt,
      registeredStartedAt: this.#state.directory.endpoints.get(endpoint.id)?.startedAt ?? null,
      tookMs: Math.round(now() - askedAt),
    });
    // A question to a process that has ended closes its connection before a new one opens.
    const isProven = pinnedAnswer === 'answered' || pinnedAnswer === 'silent';
    return { liveness, pinned: isProven && pinned?.isOpen === true ? pinned : null };
  }

  #mayAsk(endpoint: RegisteredEndpoint): boolean {
    const { limits, pauses } = this.#terms;
    return limits.timeToHealthCheck(endpoint.id) === 0 && pauses.leftMs(endpoint) === 0;
  }

  /** A port that is closed soon closes a new connection, too. */
  async #connect(
    endpoint: RegisteredEndpoint,
    connectTimeoutMs: number,
    wasReset: boolean,
  ): Promise<EndFinding> {
    const mayAsk = this.#mayAsk(endpoint);
    if (mayAsk && !wasReset) return this.#askHealth(endpoint, connectTimeoutMs);
    const target = splitAddress(endpoint.address);
    const finding = await checkPort(target, this.#loopDelay, connectTimeoutMs);
    // A request that is not read turns a close into a reset: this connection had none. One that stays
    // open is asked for the id the next time.
    return mayAsk ? null : finding;
  }

  /** Asks who answers at the address: it may have another endpoint by now. */
  async #askHealth(endpoint: RegisteredEndpoint, connectTimeoutMs: number): Promise<EndFinding> {
    const { id, address } = endpoint;
    this.#terms.limits.recordSend(id);
    const path = this.#findHealthPath(endpoint);
    const timeout = new AbortController();
    const timer = new SilenceTimer(this.#loopDelay);
    timer.start(connectTimeoutMs, () => timeout.abort());
    const openSocket = buildConnector({ timeout: connectTimeoutMs });
    let isOpen = false;
    const client = createCheckClient(address, (target, callback) => {
      openSocket(target, (...result) => {
        isOpen = result[0] === null;
        timer.start(ANSWER_TIMEOUT_MS, () => timeout.abort());
        callback(...result);
      });
    });
    try {
      const options = { method: 'GET', path, responseHeaders: 'raw' } as const;
      const answer = await client.request({ ...options, signal: timeout.signal });
      answer.body.on('error', () => {
        // The status and headers suffice.
      });
      const headers = answer.headers as unknown as readonly string[];
      const { endpointId } = this.#dialect.parseAnswer(answer.statusCode, headers);
      if (endpointId === null) return 'open';
      return endpointId === id ? 'alive' : 'ended';
    } catch (error) {
      if (isOpen && timeout.signal.aborted) return 'open';
      throw error;
    } finally {
      timer.stop();
      void client.destroy();
    }
  }
}
