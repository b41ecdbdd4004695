import { totalmem } from 'node:os';
import { getHeapStatistics } from 'node:v8';

import { limitForBody } from './bodyRoom.js';

/** Part of the heap's limit, and of the rest of the machine's memory, that may be held for others. */
const HEAP_FRACTION = 0.75;
const REST_FRACTION = 1 / 3;

const MAX_LIMIT_BYTES = 268_435_456;

/** Smallest limit: one body of the usual largest size can be held. */
export const MIN_LIMIT_BYTES = limitForBody(4_194_304);

/** Memory that the machine, or the container, has in bytes. */
export function machineBytes(): number {
  // 0 or an absurd number without a constraint.
  // eslint-disable-next-line n/no-unsupported-features/node-builtins -- all it could do is change its bounds
  const constrainedBytes = process.constrainedMemory() || Number.POSITIVE_INFINITY;
  return Math.min(totalmem(), constrainedBytes);
}

/** Returns how much a process may hold for others, from what it has itself; bytes. */
export function defaultLimitBytes(
  heapBytes = getHeapStatistics().heap_size_limit,
  memoryBytes = machineBytes(),
): number {
  const restBytes = (memoryBytes - heapBytes) * REST_FRACTION;
  const mostBytes = Math.floor(Math.min(heapBytes * HEAP_FRACTION, restBytes, MAX_LIMIT_BYTES));
  return Math.max(MIN_LIMIT_BYTES, mostBytes);
}
