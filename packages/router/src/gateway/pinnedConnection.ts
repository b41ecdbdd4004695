import type { RegisteredEndpoint } from '@filbertlatch/core';
import { buildConnector } from 'undici';

import { discardBody } from '../bounds/index.js';
import { now } from '../clock.js';
import { createCheckClient } from './checkClient.js';
import type { Dialect } from './dialect.js';
import type { GuardedClient } from './guardedClient.js';
import { SilenceTimer, type ListeningClock } from './silenceTimer.js';

/** Time-out for opening the connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 600;

/** Time after the latest use until the connection is closed, in milliseconds. */
const RETENTION_MS = 10_000;

/** Most questions that wait at once; a full endpoint answers them when it has room. */
const MAX_WAITING = 8;

/**
 * What came of a question: an answer; nothing in time; nothing, since the connection is closed; or it
 * was not asked, since too many wait.
 */
export type PinnedAnswer = 'answered' | 'silent' | 'closed' | 'busy';

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

  #answeredAt: number | null = null;

  #isOpen = true;

  #waiting = 0;

  #retention: NodeJS.Timeout | null = null;

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
      pipelining: MAX_WAITING,
    });
    this.#client.on('disconnect', () => this.close());
    this.#keep();
  }

  /** False once the connection is closed, by either end. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Time of the first answer; epoch milliseconds, null before it. */
  get answeredAt(): number | null {
    return this.#answeredAt;
  }

  /** Asks for the endpoint's health and waits for the answer; one that comes later counts as well. */
  async ask(path: string, timeoutMs: number): Promise<PinnedAnswer> {
    if (!this.#isOpen) return 'closed';
    if (this.#waiting === MAX_WAITING) return 'busy';
    this.#keep();
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
    if (this.#retention !== null) clearTimeout(this.#retention);
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
      return 'answered';
    } catch {
      // Whatever it was, nothing can be asked on this connection any more.
      this.close();
      return 'closed';
    } finally {
      this.#waiting -= 1;
    }
  }

  #keep(): void {
    if (this.#retention !== null) clearTimeout(this.#retention);
    this.#retention = setTimeout(() => this.close(), RETENTION_MS).unref();
  }
}
