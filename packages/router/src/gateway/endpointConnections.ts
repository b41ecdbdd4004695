import type { Socket } from 'node:net';

import { buildConnector, Pool } from 'undici';

/** Connections to an endpoint within a data centre are open within milliseconds. */
const CONNECT_TIMEOUT_MS = 700;

/** Idle time after which a connection is closed when the endpoint does not announce its own. */
const DEFAULT_KEEP_ALIVE_MS = 3000;

/** A connection is closed this long before the endpoint would, so that no request crosses it. */
const KEEP_ALIVE_MARGIN_MS = 1000;

/** The connections to one lifetime of one endpoint, one request at a time on each. */
export class EndpointConnections {
  readonly #origin: string;

  readonly #maxConnections: number;

  #pool: Pool;

  #isResetting = false;

  constructor(address: string, connections: number) {
    this.#origin = `http://${address}`;
    this.#maxConnections = connections;
    this.#pool = this.#createPool();
  }

  /** The pool that new requests use. */
  get pool(): Pool {
    return this.#pool;
  }

  /** True while the reset of a connection is being handled. */
  get isResetting(): boolean {
    return this.#isResetting;
  }

  /** Leaves the open connections to the requests on them; later requests use new ones. */
  renew(): void {
    const old = this.#pool;
    this.#pool = this.#createPool();
    // Requests on the old connections end or are cancelled by their own deadlines.
    old.close().catch(() => old.destroy());
  }

  /** Closes the idle connections now and the others when their requests have ended. */
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
      connect: (options, callback) => {
        connect(options, (...result) => {
          this.#watchReset(result[1]);
          callback(...result);
        });
      },
    });
  }

  #watchReset(socket: Socket | null): void {
    socket?.prependListener('error', () => this.#markReset());
    // A reset right behind the last bytes may be read as an end; such a socket has no peer any
    // more. The runtime keeps a peer's address once it was read, so nothing may read it before.
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
