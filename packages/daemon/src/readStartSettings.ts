import { setTimeout as sleep } from 'node:timers/promises';

import { RouterError } from '@filbertlatch/router/errors';
import { standardError } from '@filbertlatch/router/output';

/** Time for which settings that cannot be read are asked for again: they are being written. */
const MAX_SETTINGS_WAIT_MS = 2000;

const SETTINGS_RETRY_INTERVAL_MS = 100;

const isUnreadable = (error: unknown) =>
  error instanceof RouterError && error.code === 'settings_unreadable';

/**
 * Reads the settings of a start, and asks again while the file is missing, empty or cut off. Rejects
 * with the last error when the time or the signal ends that, and at once when they are invalid.
 */
export async function readStartSettings<T>(
  read: () => Promise<T>,
  signal: AbortSignal,
): Promise<T> {
  const startedAt = performance.now();
  for (let retries = 0; ; retries += 1) {
    try {
      const settings = await read();
      const waitedMs = Math.round(performance.now() - startedAt);
      if (retries > 0) standardError.write(`filbertlatchd: settings read after ${waitedMs} ms`);
      return settings;
    } catch (error) {
      const isOver = performance.now() - startedAt >= MAX_SETTINGS_WAIT_MS;
      if (!isUnreadable(error) || isOver || signal.aborted) throw error;
      const reason = (error as RouterError).message;
      if (retries === 0) standardError.write(`filbertlatchd: no settings yet: ${reason}`);
    }
    // A signal to stop ends the pause; the last reading then says what was wrong.
    await sleep(SETTINGS_RETRY_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
  }
}
