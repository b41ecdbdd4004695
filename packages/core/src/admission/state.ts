import { createRate, type Rate } from '../shared/index.js';
import type { PoolId, Request } from '../types/index.js';

const RATE_TIME_CONSTANT_MS = 5000;
const BURST_TIME_CONSTANT_MS = 1000;

/** A request that waits, with its predicted cost in tokens. */
export interface Waiting {
  readonly request: Request;
  readonly cost: number;
}

/** Requests of one account within a lane, first come first. */
export interface AccountLane {
  readonly accountId: string;
  readonly weight: number;
  readonly waiting: Waiting[];
  /** Sum of the predicted costs that wait. */
  cost: number;
  /** Cost served over the account's weight: the account with the least goes next. */
  virtualTime: number;
}

/** Requests of one class waiting for one pool. */
export interface Lane {
  readonly classId: string;
  /** Accounts that wait now, by id. */
  readonly accounts: Map<string, AccountLane>;
  /** Virtual time of the account served last: an account that begins to wait starts there. */
  accountClock: number;
  size: number;
  /** Sum of the predicted costs that wait. */
  cost: number;
  /** Cost served over the class's weight: the lane of a tier with the least goes next. */
  virtualTime: number;
  /** Cost still owed to the class's guaranteed minimum share; at most 0 when it is met. */
  owed: number;
  /** Instant of the last arrival. */
  arrivedAt: number;
  /**
   * Cost that the class may still send within its share: it grows while the class is quiet, up
   * to a short burst, and a class that has some goes before others of its tier.
   */
  credit: number;
  readonly arrived: Rate;
  /** The same over a shorter time, to see a burst begin. */
  readonly burst: Rate;
  /** Cost per millisecond that arrives, as this VM and its peers divide the slots by it. */
  announced: number;
  readonly served: Rate;
}

/** All lanes of one pool. */
export interface PoolQueue {
  readonly lanes: Map<string, Lane>;
  /** Virtual time of the lane served last, by tier rank. */
  readonly clocks: number[];
  /** Cost that this VM has sent to the pool lately. */
  readonly served: Rate;
}

/** Cost per millisecond that callers ask of one VM, by class. */
export type Offers = ReadonlyMap<string, number>;

/** What the peers said of their demand, at most a moment ago. */
export interface PeerDemand {
  refreshedAt: number;
  /** By pool, then by VM: only VMs that were heard lately. */
  readonly pools: Map<string, Map<string, Map<string, number>>>;
  /** The VMs that were heard lately. */
  readonly heard: Set<string>;
}

/** What waits on this VM, and what the peers say waits on theirs. */
export interface AdmissionState {
  readonly pools: Map<PoolId, PoolQueue>;
  readonly peers: PeerDemand;
}

/** Creates the state of a VM on which nothing waits. */
export function createAdmissionState(): AdmissionState {
  return { pools: new Map(), peers: { refreshedAt: 0, pools: new Map(), heard: new Set() } };
}

/** Creates the queue of a pool that nothing waits for. */
export function createPoolQueue(): PoolQueue {
  return { lanes: new Map(), clocks: [], served: createRate(RATE_TIME_CONSTANT_MS) };
}

/** Creates the lane of a class that has not waited yet. */
export function createLane(classId: string): Lane {
  return {
    classId,
    accounts: new Map(),
    accountClock: 0,
    size: 0,
    cost: 0,
    virtualTime: 0,
    owed: 0,
    arrivedAt: 0,
    credit: 0,
    arrived: createRate(RATE_TIME_CONSTANT_MS),
    burst: createRate(BURST_TIME_CONSTANT_MS),
    announced: 0,
    served: createRate(RATE_TIME_CONSTANT_MS),
  };
}
