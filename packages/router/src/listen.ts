import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createAdaptorServer } from '@hono/node-server';

/** A server that listens, and where. */
export interface Listener {
  readonly url: string;
  /** Takes no new connections; resolves when the open ones have ended. */
  close(): Promise<void>;
}

interface App {
  fetch(request: Request, env: never): Response | Promise<Response>;
}

/** Serves an app at an address; port 0 takes a free one. */
export async function listen(app: App, host: string, port: number): Promise<Listener> {
  const server = createAdaptorServer({ fetch: app.fetch as never }) as Server;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address() as AddressInfo;
  return {
    url: `http://${host}:${address.port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
