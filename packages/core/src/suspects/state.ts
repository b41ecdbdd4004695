import type { PoolId } from '../types/index.js';

/** Crashes of one endpoint while it ran a given request. */
export interface EndpointCrashes {
  /** Time of the latest crash; epoch milliseconds. */
  at: number;
  /** Time at which the attempt that ended in the latest crash was sent; epoch milliseconds. */
  startedAt: number;
  crashCount: number;
  /** True when the request ran there in isolation in at least one of the crashes. */
  isAlone: boolean;
}

/** Crashes that a request is suspected of. */
export interface CrashHistory {
  /** By endpoint id. */
  readonly crashes: Map<string, EndpointCrashes>;
}

/** A suspect that waits to run in isolation. */
export interface WaitingSuspect {
  readonly requestId: string;
  /** Time at which it was queued; epoch milliseconds. */
  readonly queuedAt: number;
}

/** Isolated runs of a pool's suspects, one at a time on a reserved endpoint. */
export interface Isolation {
  /** Suspects that wait for their run, oldest first. */
  readonly waiting: WaitingSuspect[];
  /** Endpoint reserved for the next or current run, without other requests; null for none. */
  endpointId: string | null;
  /** Request that runs in isolation now; null for none. */
  runningId: string | null;
}

/** Requests that endpoints crashed under, and their isolated runs. */
export interface SuspectState {
  /** By request fingerprint, the one with the latest crash last. */
  readonly crashHistories: Map<string, CrashHistory>;
  readonly isolations: Map<PoolId, Isolation>;
}

/** Creates the state of a VM without recorded crashes. */
export function createSuspectState(): SuspectState {
  return { crashHistories: new Map(), isolations: new Map() };
}
