import type { CacheEvent } from '../types/index.js';

/** Largest number of prefixes remembered per endpoint; the least recently used is dropped first. */
const MAX_PREFIXES_PER_ENDPOINT = 4096;

interface EndpointCache {
  /** Sequence number of the last event applied. */
  sequence: number;
  /** Prefixes that the endpoint is believed to hold, least recently used first. */
  readonly prefixes: Set<string>;
}

/** The believed contents of the prefix caches, by endpoint id. */
export interface PrefixCacheState {
  readonly endpoints: Map<string, EndpointCache>;
}

/** Creates the state in which no endpoint has published its cache. */
export function createPrefixCacheState(): PrefixCacheState {
  return { endpoints: new Map() };
}

function getOrCreateCache(state: PrefixCacheState, endpointId: string): EndpointCache {
  let cache = state.endpoints.get(endpointId);
  if (cache === undefined) {
    cache = { sequence: -1, prefixes: new Set() };
    state.endpoints.set(endpointId, cache);
  }
  return cache;
}

function storePrefix(cache: EndpointCache, prefix: string): void {
  cache.prefixes.delete(prefix);
  cache.prefixes.add(prefix);
  if (cache.prefixes.size <= MAX_PREFIXES_PER_ENDPOINT) return;
  const [oldest] = cache.prefixes;
  cache.prefixes.delete(oldest!);
}

/**
 * Applies a change that an endpoint published. After a gap in the sequence evictions may have
 * been missed, so earlier prefixes are dropped: wrongly assuming a cold cache costs less than
 * wrongly assuming a warm one.
 */
export function recordCacheEvent(state: PrefixCacheState, event: CacheEvent): void {
  const cache = getOrCreateCache(state, event.endpointId);
  if (event.sequence <= cache.sequence) return;
  if (event.sequence > cache.sequence + 1) cache.prefixes.clear();
  cache.sequence = event.sequence;
  event.evicted.forEach((prefix) => cache.prefixes.delete(prefix));
  event.stored.forEach((prefix) => storePrefix(cache, prefix));
}

/** Adds a sent request's prefixes to the believed cache, if the endpoint publishes its cache. */
export function addExpectedPrefixes(
  state: PrefixCacheState,
  endpointId: string,
  prefixes: readonly string[],
): void {
  const cache = state.endpoints.get(endpointId);
  if (cache === undefined) return;
  prefixes.forEach((prefix) => storePrefix(cache, prefix));
}

/** Returns the fraction of a prompt's prefixes that an endpoint is believed to hold, 0 to 1. */
export function cachedFraction(
  state: PrefixCacheState,
  endpointId: string,
  prefixes: readonly string[],
): number {
  const held = state.endpoints.get(endpointId)?.prefixes;
  if (held === undefined || prefixes.length === 0) return 0;
  let length = 0;
  while (length < prefixes.length && held.has(prefixes[length]!)) length += 1;
  return length / prefixes.length;
}
