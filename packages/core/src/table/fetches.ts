import type { Random } from '../shared/index.js';
import type { Fetch, TableState } from './state.js';

/** A fetch without any answer counts as failed after so long. */
const LOST_MS = 5000;

const FIRST_BACKOFF_MS = 200;
const LONGEST_BACKOFF_MS = 10_000;

/** Most sheets that are fetched at the same time. */
const MOST_OPEN = 8;

function isOpen(fetch: Fetch, now: number): boolean {
  return fetch.nextAt > now && fetch.failures === 0;
}

/** Takes the fetches that are due, and holds each to be under way from now on. */
export function takeDueFetches(state: TableState, now: number): Fetch[] {
  const all = [...state.fetches.values()];
  const open = all.filter((fetch) => isOpen(fetch, now)).length;
  const due = all.filter((fetch) => fetch.nextAt <= now).slice(0, Math.max(1, MOST_OPEN - open));
  due.forEach((fetch) => {
    fetch.nextAt = now + LOST_MS;
  });
  return due;
}

/** Notes that a sheet could not be had: it is tried again after a backoff with full jitter. */
export function recordMissing(
  state: TableState,
  sheet: string,
  random: Random,
  now: number,
): boolean {
  const fetch = state.fetches.get(sheet);
  if (fetch === undefined) return false;
  const most = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(fetch.failures, 10));
  fetch.failures += 1;
  fetch.nextAt = now + most * random.next();
  return true;
}
