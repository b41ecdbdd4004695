import { createDecayingRate, type DecayingRate } from '../shared/index.js';
import type { PoolId, Request } from '../types/index.js';

/** Time constant of the arrival and service rates. */
const RATE_TIME_CONSTANT_MS = 5000;

/** Time constant of the arrival rate that reacts fast enough to show the start of a burst. */
const BURST_TIME_CONSTANT_MS = 1000;

/** A waiting request. */
export interface QueuedRequest {
  readonly request: Request;
  /** Predicted cost in tokens; 0 for a requeued request, which was charged before. */
  readonly cost: number;
}

/** Waiting requests of one account within a class's lane, oldest first. */
export interface AccountLane {
  readonly accountId: string;
  readonly weight: number;
  readonly waiting: QueuedRequest[];
  /** Sum of the predicted costs of the waiting requests, in tokens. */
  cost: number;
  /** Cost served divided by the account's weight; the account with the least is served next. */
  virtualTime: number;
}

/** Waiting requests of one class for one pool. */
export interface ClassLane {
  readonly classId: string;
  /** Accounts with waiting requests, by account id. */
  readonly accounts: Map<string, AccountLane>;
  /** Virtual time of the account served last, at which a newly waiting account starts. */
  accountVirtualTime: number;
  /** Number of waiting requests. */
  size: number;
  /** Sum of the predicted costs of the waiting requests, in tokens. */
  cost: number;
  /** Cost served divided by the class's weight; in a tier the lane with the least is next. */
  virtualTime: number;
  /** Cost in tokens that the class is below its minimum share; at most 0 when that is met. */
  deficit: number;
  /** Time of the latest arrival, in epoch milliseconds. */
  arrivedAt: number;
  /**
   * Cost in tokens that the class may still send within its share. It grows while the class is
   * idle, up to a short burst; a class with credit is served before others of its tier.
   */
  burstCredit: number;
  /** Rate of arriving cost, shed or not. */
  readonly arrivalRate: DecayingRate;
  /** The same with a shorter time constant, which shows the start of a burst. */
  readonly burstArrivalRate: DecayingRate;
  /** Arriving cost per millisecond as advertised to the peers; all VMs divide the slots by it. */
  advertisedRate: number;
  /** Rate of dispatched cost. */
  readonly served: DecayingRate;
}

/** Waiting requests of one pool, in a lane for each class. */
export interface PoolQueue {
  /** By class id. */
  readonly lanes: Map<string, ClassLane>;
  /** Virtual time of the lane served last in each tier, by tier rank. */
  readonly tierVirtualTimes: number[];
  /** Rate of cost that this VM dispatches to the pool. */
  readonly served: DecayingRate;
}

/** Cost per millisecond that callers request from one VM for one pool, by class id. */
export type OfferedRates = ReadonlyMap<string, number>;

/** Demand on the peers, as their latest heartbeats report it. */
export interface PeerDemand {
  /** Time at which the heartbeats were last read, in epoch milliseconds. */
  refreshedAt: number;
  /** Cost per millisecond by pool, VM and class; only VMs with a recent heartbeat. */
  readonly pools: Map<string, Map<string, Map<string, number>>>;
  /** VMs with a recent heartbeat. */
  readonly reportingVms: Set<string>;
}

/** Requests waiting on this VM, and the demand that the peers report. */
export interface AdmissionState {
  readonly pools: Map<PoolId, PoolQueue>;
  readonly peers: PeerDemand;
}

/** Creates the state of a VM without waiting requests. */
export function createAdmissionState(): AdmissionState {
  return { pools: new Map(), peers: { refreshedAt: 0, pools: new Map(), reportingVms: new Set() } };
}

/** Creates an empty queue for a pool. */
export function createPoolQueue(): PoolQueue {
  return {
    lanes: new Map(),
    tierVirtualTimes: [],
    served: createDecayingRate(RATE_TIME_CONSTANT_MS),
  };
}

/** Creates an empty lane for a class. */
export function createClassLane(classId: string): ClassLane {
  return {
    classId,
    accounts: new Map(),
    accountVirtualTime: 0,
    size: 0,
    cost: 0,
    virtualTime: 0,
    deficit: 0,
    arrivedAt: 0,
    burstCredit: 0,
    arrivalRate: createDecayingRate(RATE_TIME_CONSTANT_MS),
    burstArrivalRate: createDecayingRate(BURST_TIME_CONSTANT_MS),
    advertisedRate: 0,
    served: createDecayingRate(RATE_TIME_CONSTANT_MS),
  };
}
