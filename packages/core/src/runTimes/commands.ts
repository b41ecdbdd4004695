import type { RunTimeState } from './state.js';

/** Run times kept of a route. */
const MAX_RUN_TIMES = 64;

/** Routes of which run times are kept; the one recorded first is dropped. */
const MAX_ROUTES = 1024;

/** Records how long a request was served. */
export function recordRunTime({ recentMs }: RunTimeState, routeId: string, ms: number): void {
  const times = recentMs.get(routeId);
  if (times !== undefined) {
    times.push(ms);
    if (times.length > MAX_RUN_TIMES) times.shift();
    return;
  }
  recentMs.set(routeId, [ms]);
  if (recentMs.size > MAX_ROUTES) recentMs.delete(recentMs.keys().next().value!);
}
