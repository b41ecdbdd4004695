import type { RunTimeState } from './state.js';

/** A request may take this much longer than the longest of its route lately. */
const LONGER_FACTOR = 1.2;

/**
 * Returns how long a request of a route probably takes at the most, in milliseconds; infinite without
 * a record.
 */
export function expectedLongestMs({ recentMs }: RunTimeState, routeId: string): number {
  const times = recentMs.get(routeId);
  return times === undefined ? Number.POSITIVE_INFINITY : LONGER_FACTOR * Math.max(...times);
}
