import { readFile } from 'node:fs/promises';

const SCHEDULER_STATISTICS = '/proc/self/schedstat';
const NS_PER_MS = 1_000_000;

/**
 * Returns how long this process's first thread has been ready to run without a core so far, in
 * milliseconds; null where the system does not tell.
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
