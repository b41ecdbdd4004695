import { readFile } from 'node:fs/promises';

const SCHEDULER_STATISTICS = '/proc/self/schedstat';
const NS_PER_MS = 1_000_000;

/**
 * Returns how long, in milliseconds, this process's main thread has so far been ready to run but
 * waited for a core; null where the system has no such statistics.
 */
export async function readCoreWait(): Promise<number | null> {
  try {
    const [, waitedNs] = (await readFile(SCHEDULER_STATISTICS, 'utf8')).split(' ');
    const waitedMs = Number(waitedNs) / NS_PER_MS;
    return Number.isFinite(waitedMs) ? waitedMs : null;
  } catch {
    return null;
  }
}
