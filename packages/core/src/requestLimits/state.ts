import { createDecayingRate, type DecayingRate } from '../shared/index.js';

/** Time constant of the sends to an endpoint with a limit. */
const SENDS_TIME_CONSTANT_MS = 4000;

/** What a VM knows of the limit that an endpoint names in its answers. */
export interface RequestLimit {
  /** Requests a second that the endpoint takes from all VMs together; null after its limit ended. */
  perSecond: number | null;
  /** Time at which this VM learnt `perSecond`; epoch milliseconds. */
  changedAt: number;
  /** Time at which the endpoint last said so; epoch milliseconds of this VM's clock. */
  toldAt: number;
  /** Id of the VM that the endpoint last told. */
  toldTo: string;
  /** This VM's requests to the endpoint while it has a limit, health checks included. */
  readonly sends: DecayingRate;
}

/** The limits that a VM knows. */
export interface RequestLimitState {
  readonly vmId: string;
  /** By endpoint id. */
  readonly limits: Map<string, RequestLimit>;
}

/** Creates the state of a VM that knows no limit. */
export function createRequestLimitState(vmId: string): RequestLimitState {
  return { vmId, limits: new Map() };
}

/** Creates the record of a limit that a VM was told now. */
export function createRequestLimit(perSecond: number, toldTo: string, now: number): RequestLimit {
  return {
    perSecond,
    changedAt: now,
    toldAt: now,
    toldTo,
    sends: createDecayingRate(SENDS_TIME_CONSTANT_MS),
  };
}
