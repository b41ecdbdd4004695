import type { Random } from '../shared/index.js';

/** Something to choose for its load; the cost counts in requests. */
export interface Loaded {
  readonly cost: number;
}

/**
 * Draws one of several engines whose loads are out of date by `unseenRequests`: requests that other
 * VMs have sent meanwhile and that are expected to have filled up the least loaded engines. Each is
 * drawn in proportion to what it lacks to that level (load interpretation, Dahlin 2000). The engine
 * that seems least loaded to all VMs would get the requests of all of them.
 */
export function drawByLoad<T extends Loaded>(
  engines: readonly T[],
  unseenRequests: number,
  random: Random,
): T | undefined {
  const sorted = [...engines].sort((a, b) => a.cost - b.cost);
  // The request itself fills up too.
  const requests = unseenRequests + 1;
  let below = 0;
  let sum = 0;
  while (below < sorted.length && sorted[below]!.cost * below < requests + sum) {
    sum += sorted[below]!.cost;
    below += 1;
  }
  const level = (requests + sum) / below;
  let left = random.next() * requests;
  for (let index = 0; index < below; index += 1) {
    left -= level - sorted[index]!.cost;
    if (left < 0) return sorted[index];
  }
  return sorted[0];
}
