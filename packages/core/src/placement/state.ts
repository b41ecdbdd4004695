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
  /** This VM's part of the endpoint's slots; null before the first use. */
  part: number | null;
  /** Scales the part by what first tokens tell: below 1 where requests wait there. */
  factor: number;
  /** Instant of the last decrease of the factor. */
  decreasedAt: number;
  /** Attempts in flight that have had no token yet. */
  unanswered: number;
  /** Instants at which those were sent, oldest first. */
  readonly unansweredSince: number[];
  readonly pace: Pace;
}

/** The members of a pool that this VM uses, as long as the pool's row set is the same. */
export interface Subset {
  readonly members: readonly Endpoint[];
  readonly chosen: readonly Endpoint[];
}

/** This VM's part of every endpoint of a pool, 0 to 1. */
export interface PoolPart {
  readonly from: number;
  readonly to: number;
  /** True when the parts follow the VMs' demand, false when all have the same. */
  readonly followsDemand: boolean;
  readonly refreshedAt: number;
}

/** Loads of the endpoints and paces of the pools, by id. */
export interface PlacementState {
  readonly loads: Map<string, EndpointLoad>;
  readonly pools: Map<string, Pace>;
  readonly parts: Map<PoolId, PoolPart>;
  /** Critical attempts in flight, by pool. */
  readonly critical: Map<string, Set<string>>;
  readonly subsets: Map<PoolId, Subset>;
  readonly caches: CacheState;
}

/** Creates the state in which nothing is in flight. */
export function createPlacementState(): PlacementState {
  return {
    loads: new Map(),
    pools: new Map(),
    parts: new Map(),
    critical: new Map(),
    subsets: new Map(),
    caches: createCacheState(),
  };
}

/** Creates the load of an endpoint that was not used yet. */
export function createEndpointLoad(): EndpointLoad {
  return {
    inFlight: 0,
    expectedTokens: 0,
    report: null,
    sentAt: [],
    endedAt: [],
    part: null,
    factor: 1,
    decreasedAt: 0,
    unanswered: 0,
    unansweredSince: [],
    pace: createPace(),
  };
}
