import { once } from 'node:events';
import type { Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const RETRY_INTERVAL_MS = 5;
const RETRY_TIMEOUT_MS = 1000;

/**
 * Listens on an address that was in use before. A process that another thread forks at the same
 * time holds a copy of the closed socket until it runs its own program.
 */
export async function listenAgain(server: Server, address: string): Promise<void> {
  const [host, port] = address.split(':');
  const retryUntil = performance.now() + RETRY_TIMEOUT_MS;
  for (;;) {
    server.listen(Number(port), host);
    try {
      await once(server, 'listening');
      return;
    } catch (error) {
      const isInUse = (error as NodeJS.ErrnoException).code === 'EADDRINUSE';
      if (!isInUse || performance.now() > retryUntil) throw error;
    }
    await sleep(RETRY_INTERVAL_MS);
  }
}
