import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';
import {
  createServer as createTlsServer,
  type Server as TlsServer,
  type ServerOptions as TlsServerOptions,
} from 'node:https';
import type { AddressInfo } from 'node:net';

import { createAdaptorServer } from '@hono/node-server';

import { hasValidHeaderNames } from './headerNames.js';
import { openServer, type WantedAddress } from './openAddress.js';
import type { TlsMaterial } from './security/index.js';

const MS_PER_SECOND = 1000;

/** A listening server and its URL. */
export interface Listener {
  readonly url: string;
  /** Uses another certificate for new connections; open ones go on. Without TLS it does nothing. */
  setTls(material: TlsMaterial): void;
  /** Closes the server and all its connections; resolves when they are closed. */
  close(): Promise<void>;
}

/** Limits on one connection or request, and on the number of connections. */
export interface ListenLimits {
  readonly maxHeaderBytes?: number;
  readonly maxConnections?: number;
  readonly headersTimeoutSeconds?: number;
  readonly requestTimeoutSeconds?: number;
}

/** TLS and limits of a server. */
export interface ListenOptions {
  readonly tls?: TlsMaterial | null;
  /** Whether a client must present a certificate signed by one of the authorities (mutual TLS). */
  readonly isMutual?: boolean;
  readonly limits?: ListenLimits;
  /** Called when the address is refused for the moment, and when it is used after that. */
  readonly report?: WantedAddress['report'];
  /** Ends the wait for the address. */
  readonly signal?: AbortSignal;
}

interface App {
  fetch(request: Request, env: never): Response | Promise<Response>;
}

const DEFAULT_LIMITS: Required<ListenLimits> = {
  maxHeaderBytes: 16_384,
  maxConnections: 16_384,
  headersTimeoutSeconds: 10,
  requestTimeoutSeconds: 60,
};

/** Refuses requests with malformed header names, which no app gets. */
function checkHeaderNames(listener: RequestListener): RequestListener {
  return (request, response) => {
    if (hasValidHeaderNames(request.rawHeaders)) {
      listener(request, response);
      return;
    }
    request.resume();
    response.writeHead(400, { 'content-length': 0, connection: 'close' }).end();
  };
}

function createHttpServer(app: App, { tls, isMutual, limits }: ListenOptions): Server | TlsServer {
  const allLimits = { ...DEFAULT_LIMITS, ...limits };
  const httpOptions = {
    maxHeaderSize: allLimits.maxHeaderBytes,
    headersTimeout: allLimits.headersTimeoutSeconds * MS_PER_SECOND,
    requestTimeout:
      Math.max(allLimits.requestTimeoutSeconds, allLimits.headersTimeoutSeconds) * MS_PER_SECOND,
    connectionsCheckingInterval: MS_PER_SECOND,
  };
  const isTls = tls !== undefined && tls !== null;
  const mutualOptions = { requestCert: true, rejectUnauthorized: true };
  const tlsOptions = { ...httpOptions, ...tls, ...(isMutual === true ? mutualOptions : {}) };
  const server = isTls
    ? createAdaptorServer({
        fetch: app.fetch as never,
        createServer: ((options: TlsServerOptions, listener: RequestListener) =>
          createTlsServer(options, checkHeaderNames(listener))) as typeof createTlsServer,
        serverOptions: tlsOptions,
      })
    : createAdaptorServer({
        fetch: app.fetch as never,
        createServer: ((options: ServerOptions, listener: RequestListener) =>
          createServer(options, checkHeaderNames(listener))) as typeof createServer,
        serverOptions: httpOptions,
      });
  (server as Server).maxConnections = allLimits.maxConnections;
  return server as Server | TlsServer;
}

/**
 * Serves an app as soon as its address is free; port 0 takes a free port. Rejects if the address can't
 * be used, or when the signal of the options ends the wait.
 */
export async function listen(
  app: App,
  host: string,
  port: number,
  options: ListenOptions = {},
): Promise<Listener> {
  const server = createHttpServer(app, options);
  const urlHost = host.includes(':') ? `[${host}]` : host;
  const { report = () => {}, signal } = options;
  const wanted = { address: `${urlHost}:${port}`, report, signal };
  await openServer(server, host, port, wanted);
  const address = server.address() as AddressInfo;
  const isTls = 'setSecureContext' in server;
  return {
    url: `${isTls ? 'https' : 'http'}://${urlHost}:${address.port}`,
    setTls: (material) => {
      if (isTls) server.setSecureContext(material);
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
