import { createDecayingRate, type DecayingRate } from '../shared/index.js';

/** Time constant of the sends to an endpoint with a limit, for operators. */
const SENDS_TIME_CONSTANT_MS = 4000;

/** What a VM knows of the limit that an endpoint names in its answers, and what it may send. */
export interface RequestLimit {
  /** Requests a second that the endpoint takes from all VMs together; null after its limit ended. */
  perSecond: number | null;
  /** Time at which this VM learnt `perSecond`; epoch milliseconds. */
  changedAt: number;
  /** Time at which the endpoint last said so; epoch milliseconds of this VM's clock. */
  toldAt: number;
  /** Id of the VM that the endpoint last told. */
  toldTo: string;
  /** Requests a second that this VM may send. */
  sharePerSecond: number;
  /** Requests that this VM may send of its share; below 0 after a health check without credit. */
  shareCredit: number;
  /** Requests that all VMs together may send, by what this VM has heard of their sends. */
  fleetCredit: number;
  /** Time at which both credits were updated; epoch milliseconds. */
  creditedAt: number;
  /** This VM's sends that no peer has been told of. */
  unreportedSends: number;
  /** This VM's requests to the endpoint while it has a limit, health checks included. */
  readonly sends: DecayingRate;
}

/** The requests that arrive at another VM, by which the VMs divide a limit. */
export interface PeerArrivals {
  /** Time of its last message; epoch milliseconds. */
  readonly heardAt: number;
  readonly isLeaving: boolean;
  /** Requests a second by service id; null when it reports none, since it knows no limit. */
  readonly perSecond: ReadonlyMap<string, number> | null;
}

/** Arrivals for a service that are expected at all VMs together. */
export interface ExpectedArrivals {
  perSecond: number;
  /** Epoch milliseconds. */
  updatedAt: number;
}

/** The limits that a VM knows, and the arrivals by which the VMs divide them. */
export interface RequestLimitState {
  readonly vmId: string;
  /** By endpoint id, the one reported to peers last at the end. */
  readonly limits: Map<string, RequestLimit>;
  /** This VM's arrivals by service id and priority. */
  readonly arrivals: Map<string, Map<number, DecayingRate>>;
  /** By VM id. */
  readonly peers: Map<string, PeerArrivals>;
  /** By service id; from the times at which few peers were silent. */
  readonly expectedArrivals: Map<string, ExpectedArrivals>;
}

/** Creates the state of a VM that knows no limit. */
export function createRequestLimitState(vmId: string): RequestLimitState {
  return {
    vmId,
    limits: new Map(),
    arrivals: new Map(),
    peers: new Map(),
    expectedArrivals: new Map(),
  };
}

/** Creates the record of a limit. */
export function createRequestLimit(told: {
  readonly perSecond: number;
  readonly toldAt: number;
  readonly toldTo: string;
  readonly shareCredit: number;
  readonly now: number;
}): RequestLimit {
  const { now, ...limit } = told;
  return {
    ...limit,
    changedAt: now,
    sharePerSecond: 0,
    fleetCredit: 1,
    creditedAt: now,
    unreportedSends: 0,
    sends: createDecayingRate(SENDS_TIME_CONSTANT_MS),
  };
}
