import { once, type EventEmitter } from 'node:events';
import { Server, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { RouterError } from './errors/index.js';

/** Interval at which an address that is refused for the moment is asked for again. */
const ADDRESS_RETRY_INTERVAL_MS = 100;

type AddressRefusal = 'momentary' | 'final';

/** Refusals of the operating system that pass by themselves; all others are final. */
const REFUSALS: Readonly<Record<string, AddressRefusal>> = {
  // A predecessor, a process that drains, or the own port of an outgoing connection.
  EADDRINUSE: 'momentary',
  // The interface has not got its address yet.
  EADDRNOTAVAIL: 'momentary',
  EAI_AGAIN: 'momentary',
  EMFILE: 'momentary',
  ENFILE: 'momentary',
  ENOBUFS: 'momentary',
  ENOMEM: 'momentary',
  EACCES: 'final',
  EPERM: 'final',
};

type AddressEvent = 'address_refused' | 'address_opened' | 'accept_failed' | 'address_lost';

/** An address that a socket is to use. */
export interface WantedAddress {
  readonly address: string;
  /** Called when it is refused for the first time, when it is used after that, and when accepting fails. */
  readonly report: (event: AddressEvent, fields: object) => void;
  /** Ends the wait for it. */
  readonly signal?: AbortSignal | undefined;
}

function codeOf(error: unknown): string {
  return (error as NodeJS.ErrnoException).code ?? String(error);
}

async function tryOpen(socket: EventEmitter, open: () => void): Promise<unknown> {
  try {
    const listening = once(socket, 'listening');
    open();
    await listening;
    return null;
  } catch (error) {
    return error;
  }
}

/**
 * Opens the address of a server or a UDP socket, and asks again while it is refused for the moment.
 * Rejects with RouterError when the refusal is final, and with the signal's reason when that ends the wait.
 */
export async function openAddress(
  socket: EventEmitter,
  open: () => void,
  { address, report, signal }: WantedAddress,
): Promise<void> {
  let refusal = await tryOpen(socket, open);
  if (refusal !== null) report('address_refused', { address, error: codeOf(refusal) });
  const refusedAt = performance.now();
  while (refusal !== null) {
    if (REFUSALS[codeOf(refusal)] !== 'momentary') {
      const reason = refusal instanceof Error ? refusal.message : String(refusal);
      throw new RouterError('address_unusable', `${address}: ${reason}`, { cause: refusal });
    }
    // Its rejection has another reason than the signal.
    await sleep(ADDRESS_RETRY_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
    signal?.throwIfAborted();
    refusal = await tryOpen(socket, open);
    if (refusal === null) {
      report('address_opened', { address, waitedMs: Math.round(performance.now() - refusedAt) });
    }
  }
}

/**
 * Opens the address of a server like `openAddress`, and once more whenever accepting fails: the error
 * would end the process, and the system reports it again as long as the server listens.
 */
export async function openServer(
  server: Server,
  host: string,
  port: number,
  wanted: WantedAddress,
): Promise<void> {
  const { address, report } = wanted;
  await openAddress(server, () => server.listen(port, host), wanted);
  server.once('error', (error) => {
    report('accept_failed', { address, error: codeOf(error) });
    const used = server.address() as AddressInfo | null;
    // Closed meanwhile.
    if (used === null) return;
    // The method of an HTTP server closes connections, too.
    Server.prototype.close.call(server);
    openServer(server, host, used.port, wanted).catch((reason: unknown) => {
      report('address_lost', { address, error: String(reason) });
    });
  });
}

/** Opens several addresses at once; when one cannot be opened, the wait for the others ends, too. */
export async function openAll<T>(
  opens: readonly ((signal: AbortSignal) => Promise<T>)[],
  signal?: AbortSignal,
): Promise<T[]> {
  const failed = new AbortController();
  const anySignal = AbortSignal.any([failed.signal, ...(signal === undefined ? [] : [signal])]);
  const attempts = opens.map(async (open) => {
    try {
      return await open(anySignal);
    } catch (error) {
      failed.abort(error);
      throw error;
    }
  });
  // What has been opened is closed by the caller, which must not miss one.
  await Promise.allSettled(attempts);
  failed.signal.throwIfAborted();
  return Promise.all(attempts);
}
