import { Agent, buildConnector, Pool, type Client } from 'undici';

import { GuardedClient } from '../gateway/guardedClient.js';

/** Bytes of frame for each byte of a body that is read as a whole: it comes in few chunks. */
const MAX_FRAME_FACTOR = 1;

/** Options of a client that names what it accepts of the other end. */
export type BoundedOptions = Pool.Options &
  Required<Pick<Client.Options, 'bodyTimeout' | 'headersTimeout' | 'maxResponseSize'>>;

/** Creates a client of one connection, which is closed when the other end sends too much. */
export function createBoundedClient(
  origin: URL | string,
  { connect, ...options }: BoundedOptions,
): GuardedClient {
  const connector = typeof connect === 'function' ? connect : buildConnector({ ...connect });
  return new GuardedClient(new URL(origin), options, connector, MAX_FRAME_FACTOR);
}

/** Creates a pool of such clients. */
export function createBoundedPool(origin: URL | string, options: BoundedOptions): Pool {
  return new Pool(origin, {
    ...options,
    factory: (url, clientOptions) => createBoundedClient(url, { ...options, ...clientOptions }),
  });
}

/** Creates an agent of such pools, one for each origin. */
export function createBoundedAgent(options: BoundedOptions): Agent {
  return new Agent({
    ...options,
    factory: (origin) => createBoundedPool(origin, options),
  });
}
