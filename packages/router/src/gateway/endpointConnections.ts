import type { Socket } from 'node:net';

import { buildConnector, Pool } from 'undici';

import { now } from '../clock.js';
import { GuardedClient } from './guardedClient.js';

/** Time-out for opening a connection; within a data centre it opens within milliseconds. */
const CONNECT_TIMEOUT_MS = 700;

/**
 * Idle time before a connection is closed, when the endpoint does not announce a keep-alive
 * time-out.
 */
const DEFAULT_KEEP_ALIVE_MS = 3000;

/**
 * Idle connections are closed this long before the endpoint would, so that no request meets the
 * close.
 */
const KEEP_ALIVE_MARGIN_MS = 1000;

/** Connection pool for one endpoint between two restarts of it, without pipelining. */
export class EndpointConnections {
  readonly #origin: string;

  readonly #maxConnections: number;

  readonly #notifyContact: () => void;

  readonly #earliestArrivalAt: () => number;

  #pool: Pool;

  #isResetting = false;

  #heardAt = 0;

  #aliveAt = 0;

  #brokenAt = 0;

  /**
   * `notifyContact` is called when the first bytes arrive on a new connection; `earliestArrivalAt`
   * bounds the time at which bytes arrived that are read now.
   */
  constructor(
    address: string,
    connections: number,
    notifyContact: () => void = () => {},
    earliestArrivalAt: () => number = now,
  ) {
    this.#origin = `http://${address}`;
    this.#maxConnections = connections;
    this.#notifyContact = notifyContact;
    this.#earliestArrivalAt = earliestArrivalAt;
    this.#pool = this.#createPool();
  }

  /** The pool that new requests use. */
  get pool(): Pool {
    return this.#pool;
  }

  /** Time at which bytes of an answer were last read; epoch milliseconds, 0 before the first. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Time from which on the endpoint sent its latest bytes; epoch milliseconds, 0 before the first. */
  get aliveAt(): number {
    return this.#aliveAt;
  }

  /** Records that bytes of an answer have arrived. */
  markHeard(): void {
    this.#heardAt = now();
    this.#aliveAt = this.#earliestArrivalAt();
  }

  /** Time at which an answer was last broken off; epoch milliseconds, 0 before the first. */
  get brokenAt(): number {
    return this.#brokenAt;
  }

  /** Records that a connection ended within an answer. */
  markBroken(): void {
    this.#brokenAt = now();
  }

  /** True from the reset of a connection until the next tick. */
  get isResetting(): boolean {
    return this.#isResetting;
  }

  /** Uses new connections for later requests; running requests keep theirs. */
  renew(): void {
    const old = this.#pool;
    this.#pool = this.#createPool();
    // Requests on the old connections complete or are cancelled at their deadlines.
    old.close().catch(() => old.destroy());
  }

  /** Closes idle connections now and the others after their requests. */
  close(): void {
    this.#pool.close().catch(() => this.#pool.destroy());
  }

  #createPool(): Pool {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    return new Pool(this.#origin, {
      connections: this.#maxConnections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      factory: (origin, options) =>
        new GuardedClient(origin, options, (target, callback) => {
          connect(target, (...result) => {
            this.#watchReset(result[1]);
            this.#watchContact(result[1]);
            callback(...result);
          });
        }),
    });
  }

  #watchContact(socket: Socket | null): void {
    socket?.prependOnceListener('readable', () => {
      if (socket.bytesRead > 0) this.#notifyContact();
    });
  }

  #watchReset(socket: Socket | null): void {
    socket?.prependListener('error', () => this.#markReset());
    // A reset directly after the last bytes may be reported as `end`; such a socket has no remote
    // port. Node caches the port on first access, so no code may read it earlier.
    socket?.prependListener('end', () => {
      if (socket.remotePort === undefined) this.#markReset();
    });
  }

  #markReset(): void {
    this.#isResetting = true;
    process.nextTick(() => {
      this.#isResetting = false;
    });
  }
}
