import type { Random } from '../shared/index.js';
import type { SheetFetch, TableState } from './state.js';

/** Time without an answer after which a sheet is fetched again. */
const FETCH_TIMEOUT_MS = 5000;

/** Upper bound of the first backoff; it doubles with each failure. */
const INITIAL_BACKOFF_MS = 200;
/** Upper bound of every backoff. */
const MAX_BACKOFF_MS = 10_000;

/** Limit on first fetches in flight; retries don't count, and one due fetch may always start. */
const MAX_CONCURRENT_FETCHES = 8;

function isInFlight(fetch: SheetFetch, now: number): boolean {
  return fetch.nextAt > now && fetch.failures === 0;
}

/** Returns the fetches that are due and marks them as in flight. */
export function takeDueFetches(state: TableState, now: number): SheetFetch[] {
  const all = [...state.fetches.values()];
  const inFlight = all.filter((fetch) => isInFlight(fetch, now)).length;
  const due = all
    .filter((fetch) => fetch.nextAt <= now)
    .slice(0, Math.max(1, MAX_CONCURRENT_FETCHES - inFlight));
  due.forEach((fetch) => {
    fetch.nextAt = now + FETCH_TIMEOUT_MS;
  });
  return due;
}

/**
 * Records that a sheet could not be fetched and schedules a retry by exponential backoff with full
 * jitter; false when the sheet is not wanted any more.
 */
export function recordFetchFailure(
  state: TableState,
  sheet: string,
  random: Random,
  now: number,
): boolean {
  const fetch = state.fetches.get(sheet);
  if (fetch === undefined) return false;
  const maxBackoffMs = Math.min(
    MAX_BACKOFF_MS,
    INITIAL_BACKOFF_MS * 2 ** Math.min(fetch.failures, 10),
  );
  fetch.failures += 1;
  fetch.nextAt = now + maxBackoffMs * random.next();
  return true;
}
