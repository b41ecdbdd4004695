import type { RegisteredEndpoint } from '@filbertlatch/core';
import { buildConnector } from 'undici';

import { discardBody } from '../bounds/index.js';
import { now } from '../clock.js';
import { createCheckClient } from './checkClient.js';
import type { Dialect } from './dialect.js';
import type { GuardedClient } from './guardedClient.js';
import { findHeader } from './headers.js';
import { SilenceTimer, type ListeningClock } from './silenceTimer.js';

/** Time-out for opening the connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 600;

/** Time after the latest use until the connection is closed, in milliseconds. */
const RETENTION_MS = 10_000;

/** Idle time after which an endpoint closes a connection when it states none, in milliseconds. */
const DEFAULT_IDLE_MS = 3000;

/** An idle connection is used again this long before its endpoint would close it, in milliseconds. */
const USE_MARGIN_MS = 1000;

/** Most questions that wait at once; a full endpoint answers them when it has room. */
const MAX_WAITING = 64;

/**
 * What came of a question: an answer; nothing in time; nothing, since the connection is closed; or it
 * was not asked, since too many wait.
 */
export type PinnedAnswer = 'answered' | 'silent' | 'closed' | 'busy';

/** Returns the idle time that an endpoint states in `Keep-Alive`, in milliseconds. */
function parseIdleMs(rawHeaders: readonly string[]): number {
  const seconds = /timeout=(\d+)/i.exec(findHeader(rawHeaders, 'keep-alive') ?? '')?.[1];
  return seconds === undefined ? DEFAULT_IDLE_MS : Number(seconds) * 1000;
}

/**
 * A connection to one process of an endpoint, which is never opened again: as long as it answers, that
 * process lives, whatever is registered under the endpoint's id.
 */
export class PinnedConnection {
  readonly endpoint: RegisteredEndpoint;

  /** Epoch milliseconds. */
  readonly openedAt = now();

  readonly #dialect: Dialect;

  readonly #clock: ListeningClock;

  readonly #client: GuardedClient;

  #connectedAt: number | null = null;

  #answeredAt: number | null = null;

  #idleSince = this.openedAt;

  #idleMs = DEFAULT_IDLE_MS;

  #isOpen = true;

  #waiting = 0;

  readonly #retention = setTimeout(() => this.close(), RETENTION_MS).unref();

  constructor(endpoint: RegisteredEndpoint, dialect: Dialect, clock: ListeningClock) {
    this.endpoint = endpoint;
    this.#dialect = dialect;
    this.#clock = clock;
    const openSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    let hasConnected = false;
    const connect: buildConnector.connector = (target, callback) => {
      if (hasConnected) callback(new Error('a pinned connection is opened once'), null);
      else openSocket(target, callback);
      hasConnected = true;
    };
    this.#client = createCheckClient(endpoint.address, connect, {
      keepAliveTimeout: RETENTION_MS,
      // Closed as idle by the endpoint only: it is of use until then.
      keepAliveTimeoutThreshold: 0,
      pipelining: MAX_WAITING,
    });
    this.#client.on('connect', () => {
      this.#connectedAt = now();
    });
    this.#client.on('disconnect', () => this.close());
  }

  /** False once the connection is closed, by either end. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Time at which it opened; epoch milliseconds, null before that. */
  get connectedAt(): number | null {
    return this.#connectedAt;
  }

  /** Time of the first answer; epoch milliseconds, null before it. */
  get answeredAt(): number | null {
    return this.#answeredAt;
  }

  /** True when its endpoint will close it as idle soon. */
  get isIdleForLong(): boolean {
    const maxIdleMs = Math.max(this.#idleMs / 2, this.#idleMs - USE_MARGIN_MS);
    return this.#waiting === 0 && now() - this.#idleSince >= maxIdleMs;
  }

  /** Keeps it from being closed by this end for the retention time. */
  keep(): void {
    if (this.#isOpen) this.#retention.refresh();
  }

  /** Asks for the endpoint's health and waits for the answer; one that comes later counts as well. */
  async ask(path: string, timeoutMs: number): Promise<PinnedAnswer> {
    if (!this.#isOpen) return 'closed';
    if (this.#waiting === MAX_WAITING) return 'busy';
    this.keep();
    const timer = new SilenceTimer(this.#clock);
    const timeout = new Promise<PinnedAnswer>((resolve) => {
      timer.start(timeoutMs, () => resolve('silent'));
    });
    const pinnedAnswer = await Promise.race([this.#request(path), timeout]);
    timer.stop();
    return pinnedAnswer;
  }

  /** Closes the connection. */
  close(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    clearTimeout(this.#retention);
    void this.#client.destroy();
  }

  async #request(path: string): Promise<PinnedAnswer> {
    this.#waiting += 1;
    try {
      const options = { method: 'GET', path, responseHeaders: 'raw' } as const;
      const { statusCode, headers, body } = await this.#client.request(options);
      await discardBody(body);
      const rawHeaders = headers as unknown as readonly string[];
      const { endpointId } = this.#dialect.parseAnswer(statusCode, rawHeaders);
      // A refusal may lack the id; another one is that of an endpoint which has the address now.
      if (endpointId !== null && endpointId !== this.endpoint.id) this.close();
      if (!this.#isOpen) return 'closed';
      this.#answeredAt ??= now();
      this.#idleMs = parseIdleMs(rawHeaders);
      return 'answered';
    } catch {
      // Whatever it was, nothing can be asked on this connection any more.
      this.close();
      return 'closed';
    } finally {
      this.#waiting -= 1;
      this.#idleSince = now();
    }
  }
}
