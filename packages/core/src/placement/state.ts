import type { Endpoint, LoadReport, PoolId } from '../types/index.js';
import { createPace, type Pace } from './pace.js';
import { createCacheState, type CacheState } from './prefixCache.js';

/** What this VM has at one endpoint, and what it knows of it. */
export interface EndpointLoad {
  inFlight: number;
  /** Tokens expected of the attempts in flight. */
  expectedTokens: number;
  report: LoadReport | null;
  /** Instants of the attempts sent lately, oldest first, to correct a late report. */
  readonly sentAt: number[];
  readonly endedAt: number[];
  /** Attempts that this VM may have in flight there; null before the first use. */
  window: number | null;
  /** Instant of the last decrease of the window. */
  decreasedAt: number;
  readonly pace: Pace;
}

/** The members of a pool that this VM uses, as long as the pool's row set is the same. */
export interface Subset {
  readonly members: readonly Endpoint[];
  readonly chosen: readonly Endpoint[];
}

/** Loads of the endpoints and paces of the pools, by id. */
export interface PlacementState {
  readonly loads: Map<string, EndpointLoad>;
  readonly pools: Map<string, Pace>;
  readonly subsets: Map<PoolId, Subset>;
  readonly caches: CacheState;
}

/** Creates the state in which nothing is in flight. */
export function createPlacementState(): PlacementState {
  return { loads: new Map(), pools: new Map(), subsets: new Map(), caches: createCacheState() };
}

/** Creates the load of an endpoint that was not used yet. */
export function createEndpointLoad(): EndpointLoad {
  return {
    inFlight: 0,
    expectedTokens: 0,
    report: null,
    sentAt: [],
    endedAt: [],
    window: null,
    decreasedAt: 0,
    pace: createPace(),
  };
}
