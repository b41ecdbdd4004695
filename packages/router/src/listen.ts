import type { Server } from 'node:http';
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';

import { createAdaptorServer } from '@hono/node-server';

import type { TlsMaterial } from './security/index.js';

const MS_PER_SECOND = 1000;

/** A server that listens, and where. */
export interface Listener {
  readonly url: string;
  /** Uses another certificate for new connections; the open ones go on. */
  setTls(material: TlsMaterial): void;
  /** Takes no new connections; resolves when the open ones have ended. */
  close(): Promise<void>;
}

/** Bounds on what one client, and all together, may hold open. */
export interface ListenLimits {
  readonly maxHeaderBytes?: number;
  readonly maxConnections?: number;
  readonly headersTimeoutSeconds?: number;
  readonly requestTimeoutSeconds?: number;
}

/** How to listen besides the address. */
export interface ListenOptions {
  readonly tls?: TlsMaterial | null;
  /** True: a client must show a certificate that one of the authorities signed. */
  readonly isMutual?: boolean;
  readonly limits?: ListenLimits;
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

function createServer(app: App, { tls, isMutual, limits }: ListenOptions): Server | TlsServer {
  const bounds = { ...DEFAULT_LIMITS, ...limits };
  const plainOptions = {
    maxHeaderSize: bounds.maxHeaderBytes,
    headersTimeout: bounds.headersTimeoutSeconds * MS_PER_SECOND,
    requestTimeout:
      Math.max(bounds.requestTimeoutSeconds, bounds.headersTimeoutSeconds) * MS_PER_SECOND,
    connectionsCheckingInterval: MS_PER_SECOND,
  };
  const isTls = tls !== undefined && tls !== null;
  const mutualOptions = { requestCert: true, rejectUnauthorized: true };
  const tlsOptions = { ...plainOptions, ...tls, ...(isMutual === true ? mutualOptions : {}) };
  const server = isTls
    ? createAdaptorServer({
        fetch: app.fetch as never,
        createServer: createTlsServer,
        serverOptions: tlsOptions,
      })
    : createAdaptorServer({ fetch: app.fetch as never, serverOptions: plainOptions });
  (server as Server).maxConnections = bounds.maxConnections;
  return server as Server | TlsServer;
}

/** Serves an app at an address; port 0 takes a free one. */
export async function listen(
  app: App,
  host: string,
  port: number,
  options: ListenOptions = {},
): Promise<Listener> {
  const server = createServer(app, options);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address() as AddressInfo;
  const isTls = 'setSecureContext' in server;
  const name = host.includes(':') ? `[${host}]` : host;
  return {
    url: `${isTls ? 'https' : 'http'}://${name}:${address.port}`,
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
