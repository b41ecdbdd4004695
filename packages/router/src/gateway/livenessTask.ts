import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { isTakingRequests, type RegisteredEndpoint } from '@filbertlatch/core';
import { buildConnector, Client } from 'undici';

import { now } from '../clock.js';
import { splitAddress } from './address.js';
import type { ConnectionTable } from './connectionTable.js';
import type { ContactTask } from './contactTask.js';
import type { Dialect } from './dialect.js';
import type { EndpointTerms } from './endpointTerms.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { GatewayState } from './gatewayState.js';
import type { LoopDelay } from './loopDelay.js';
import { SilenceTimer } from './silenceTimer.js';

/** What a check tells of an endpoint; `unknown` when neither can be shown in time. */
export type Liveness = 'alive' | 'ended' | 'unknown';

/** Time in which checks of an endpoint are gathered into one. */
const GATHER_MS = 5;

/** Time-out for opening the connection; nothing answers on a link that loses packets. */
const CONNECT_TIMEOUT_MS = 150;

/** Time-out for the answer on an open connection; a full endpoint takes longer. */
const ANSWER_TIMEOUT_MS = 40;

/** Time between the ends of connections that one crash ends. */
const CRASH_SPREAD_MS = 50;

/** Time before a check is repeated whose connection was closed. */
const REPEAT_MS = 10;

const CLOSED_CODES = ['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'];

function hasCode(error: unknown, codes: readonly string[]): boolean {
  return error instanceof Error && codes.includes((error as NodeJS.ErrnoException).code ?? '');
}

/** Opens and closes a connection; rejects when it cannot be opened in time. */
function openConnection(address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
    socket.on('timeout', () => socket.destroy(new Error('connection not opened in time')));
    socket.on('error', reject);
    socket.once('connect', () => {
      socket.destroy();
      resolve();
    });
  });
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

  readonly #contacts: ContactTask;

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
    contacts: ContactTask,
    loopDelay: LoopDelay,
    metrics: GatewayMetrics,
    log: GatewayLog,
  ) {
    this.#state = state;
    this.#dialect = dialect;
    this.#connections = connections;
    this.#terms = terms;
    this.#contacts = contacts;
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
    const seen = await this.#look(endpoint, askedAt);
    // An endpoint that leaves ends after its last answer.
    const isPlanned = seen === 'ended' && !isTakingRequests(this.#state.directory, endpoint.id);
    const hasCrashed = this.#connections.lastBrokenAt(endpoint.id) > askedAt - CRASH_SPREAD_MS;
    const liveness = isPlanned && !hasCrashed ? 'unknown' : seen;
    this.#metrics.countLivenessCheck(liveness);
    this.#log.decision('endpoint_checked', {
      endpointId: endpoint.id,
      liveness,
      isPlanned,
      tookMs: Math.round(now() - askedAt),
    });
    return liveness;
  }

  async #look(endpoint: RegisteredEndpoint, askedAt: number, mayRepeat = true): Promise<Liveness> {
    try {
      if (this.#mayAsk(endpoint)) return await this.#askHealth(endpoint);
      await openConnection(endpoint.address);
      return 'unknown';
    } catch (error) {
      if (hasCode(error, ['ECONNREFUSED'])) {
        return (await this.#contacts.hasEnded(endpoint, askedAt, 'new-connection'))
          ? 'ended'
          : 'unknown';
      }
      // An endpoint that is ending, or one with too many connections, closes a new one.
      if (!mayRepeat || !hasCode(error, CLOSED_CODES)) return 'unknown';
      await sleep(REPEAT_MS);
      return this.#look(endpoint, askedAt, false);
    }
  }

  #mayAsk(endpoint: RegisteredEndpoint): boolean {
    const { limits, pauses } = this.#terms;
    return limits.timeToHealthCheck(endpoint.id) === 0 && pauses.leftMs(endpoint) === 0;
  }

  /** Asks who answers at the address: it may have another endpoint by now. */
  async #askHealth({ id, serviceId, address }: RegisteredEndpoint): Promise<Liveness> {
    this.#terms.limits.recordSend(id);
    const { routing } = this.#state;
    const path = routing.configuration?.services.get(serviceId)?.healthPath ?? '/';
    const timeout = new AbortController();
    const timer = new SilenceTimer(this.#loopDelay);
    timer.start(CONNECT_TIMEOUT_MS, () => timeout.abort());
    const openSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const client = new Client(`http://${address}`, {
      connect: (target, callback) => {
        openSocket(target, (...result) => {
          timer.start(ANSWER_TIMEOUT_MS, () => timeout.abort());
          callback(...result);
        });
      },
    });
    try {
      const options = { method: 'GET', path, responseHeaders: 'raw' } as const;
      const answer = await client.request({ ...options, signal: timeout.signal });
      answer.body.on('error', () => {
        // The status and headers suffice.
      });
      const headers = answer.headers as unknown as readonly string[];
      const { endpointId } = this.#dialect.parseAnswer(answer.statusCode, headers);
      if (endpointId === null) return 'unknown';
      return endpointId === id ? 'alive' : 'ended';
    } finally {
      timer.stop();
      void client.destroy();
    }
  }
}
