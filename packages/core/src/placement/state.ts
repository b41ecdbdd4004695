import type { Endpoint, LoadReport, PoolId } from '../types/index.js';
import { createSpeedEstimate, type SpeedEstimate } from './speedEstimate.js';
import { createPrefixCacheState, type PrefixCacheState } from './prefixCache.js';

/** This VM's attempts at one endpoint, and what it has observed of the endpoint. */
export interface EndpointLoad {
  /** Attempts of this VM in flight. */
  inFlight: number;
  /** Expected cost of the attempts in flight, in tokens. */
  expectedTokens: number;
  /** The engine's latest load report; null before the first. */
  report: LoadReport | null;
  /** Instants at which attempts were sent since the report, oldest first. */
  readonly sentAt: number[];
  /** Instants at which attempts ended since the report, oldest first. */
  readonly endedAt: number[];
  /** This VM's share of the endpoint's slots, in slots; null before it is set. */
  part: number | null;
  /** Window as a multiple of the share: late first tokens lower it, queues at this VM raise it. */
  factor: number;
  /** Instant of the last decrease of `factor`, in milliseconds. */
  decreasedAt: number;
  /** Attempts of this VM without a first token. */
  awaitingFirstToken: number;
  /** Instants at which these attempts were sent, oldest first. */
  readonly awaitingFirstTokenSince: number[];
  /** How fast attempts run at the endpoint. */
  readonly pace: SpeedEstimate;
}

/** The members of a pool that this VM uses; valid while `members` is the same list. */
export interface Subset {
  readonly members: readonly Endpoint[];
  readonly chosen: readonly Endpoint[];
}

/** This VM's share of the slots of every endpoint in a pool, as a range within 0 to 1. */
export interface PoolShare {
  readonly from: number;
  readonly to: number;
  /** True when the shares follow the VMs' demand, false when they are equal. */
  readonly followsDemand: boolean;
  /** Instant at which the share was last computed, in milliseconds. */
  readonly refreshedAt: number;
}

/** Everything that placement knows of endpoints and pools. */
export interface PlacementState {
  /** Loads by endpoint id. */
  readonly loads: Map<string, EndpointLoad>;
  /** Speed by pool id. */
  readonly pools: Map<string, SpeedEstimate>;
  /** This VM's shares by pool id. */
  readonly shares: Map<PoolId, PoolShare>;
  /** Ids of critical attempts in flight, by pool id. */
  readonly critical: Map<string, Set<string>>;
  /** Subsets of large pools by pool id. */
  readonly subsets: Map<PoolId, Subset>;
  readonly prefixCaches: PrefixCacheState;
}

/** Creates the state without loads, speeds or attempts. */
export function createPlacementState(): PlacementState {
  return {
    loads: new Map(),
    pools: new Map(),
    shares: new Map(),
    critical: new Map(),
    subsets: new Map(),
    prefixCaches: createPrefixCacheState(),
  };
}

/** Creates the load of an endpoint that has had no attempt. */
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
    awaitingFirstToken: 0,
    awaitingFirstTokenSince: [],
    pace: createSpeedEstimate(),
  };
}
