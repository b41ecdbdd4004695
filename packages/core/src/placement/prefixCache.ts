import type { CacheEvent } from '../types/index.js';

/** Prefixes kept of one endpoint; the oldest go first. */
const MOST_PREFIXES = 4096;

interface EndpointCache {
  /** Sequence of the last event taken in. */
  sequence: number;
  /** Prefixes that the endpoint holds, oldest first. */
  readonly prefixes: Set<string>;
}

/** What is known of the endpoints' prefix caches, by endpoint. */
export interface CacheState {
  readonly endpoints: Map<string, EndpointCache>;
}

/** Creates the state in which no cache is known. */
export function createCacheState(): CacheState {
  return { endpoints: new Map() };
}

function cacheOf(state: CacheState, endpointId: string): EndpointCache {
  let cache = state.endpoints.get(endpointId);
  if (cache === undefined) {
    cache = { sequence: -1, prefixes: new Set() };
    state.endpoints.set(endpointId, cache);
  }
  return cache;
}

function remember(cache: EndpointCache, prefix: string): void {
  cache.prefixes.delete(prefix);
  cache.prefixes.add(prefix);
  if (cache.prefixes.size <= MOST_PREFIXES) return;
  const [oldest] = cache.prefixes;
  cache.prefixes.delete(oldest!);
}

/**
 * Takes in a change of a cache. After a gap evictions may have been missed, so what was
 * believed before is dropped: a cache taken to be cold costs less than one taken to be warm.
 */
export function recordCacheEvent(state: CacheState, event: CacheEvent): void {
  const cache = cacheOf(state, event.endpointId);
  if (event.sequence <= cache.sequence) return;
  if (event.sequence > cache.sequence + 1) cache.prefixes.clear();
  cache.sequence = event.sequence;
  event.evicted.forEach((prefix) => cache.prefixes.delete(prefix));
  event.stored.forEach((prefix) => remember(cache, prefix));
}

/** Notes the prefixes that a request will leave at an endpoint that publishes its cache. */
export function expectPrefixes(
  state: CacheState,
  endpointId: string,
  prefixes: readonly string[],
): void {
  const cache = state.endpoints.get(endpointId);
  if (cache === undefined) return;
  prefixes.forEach((prefix) => remember(cache, prefix));
}

/** Returns the part of a prompt's blocks that an endpoint is believed to hold, 0 to 1. */
export function countCached(
  state: CacheState,
  endpointId: string,
  prefixes: readonly string[],
): number {
  const held = state.endpoints.get(endpointId)?.prefixes;
  if (held === undefined || prefixes.length === 0) return 0;
  let length = 0;
  while (length < prefixes.length && held.has(prefixes[length]!)) length += 1;
  return length / prefixes.length;
}
