import { isTakingRequests, type RegisteredEndpoint } from '@filbertlatch/core';
import { buildConnector } from 'undici';

import { now } from '../clock.js';
import { splitAddress } from './address.js';
import { createCheckClient } from './checkClient.js';
import type { ConnectionTable } from './connectionTable.js';
import type { Dialect } from './dialect.js';
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

/** Time in which checks of an endpoint are gathered into one. */
const GATHER_MS = 5;

/** Time between the ends of connections that one crash ends. */
const CRASH_SPREAD_MS = 50;

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
  readonly #gathered = new Map<string, Promise<Liveness>>();

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

  /** Checks an endpoint now; never rejects. */
  check(endpoint: RegisteredEndpoint): Promise<Liveness> {
    const gathered = this.#gathered.get(endpoint.id);
    if (gathered !== undefined) return gathered;
    const askedAt = now();
    const check = new Promise<Liveness>((resolve) => {
      setTimeout(() => {
        this.#gathered.delete(endpoint.id);
        void this.#run(endpoint, askedAt).then(resolve);
      }, GATHER_MS);
    });
    this.#gathered.set(endpoint.id, check);
    return check;
  }

  async #run(endpoint: RegisteredEndpoint, askedAt: number): Promise<Liveness> {
    const finding = await checkEnd(
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
      isPlanned,
      startedAt: endpoint.startedAt,
      registeredStartedAt: this.#state.directory.endpoints.get(endpoint.id)?.startedAt ?? null,
      tookMs: Math.round(now() - askedAt),
    });
    return liveness;
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
  async #askHealth(
    { id, serviceId, address }: RegisteredEndpoint,
    connectTimeoutMs: number,
  ): Promise<EndFinding> {
    this.#terms.limits.recordSend(id);
    const { routing } = this.#state;
    const path = routing.configuration?.services.get(serviceId)?.healthPath ?? '/';
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
