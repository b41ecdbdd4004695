import type { PoolId } from '../types/index.js';

/** Crashes of one endpoint with a request in flight. */
export interface Crash {
  /** Instant of the last one; epoch milliseconds. */
  at: number;
  /** Instant at which the request had been sent there. */
  startedAt: number;
  times: number;
  /** True when the request was alone there in one of them. */
  isAlone: boolean;
}

/** Crashes with a request in flight, by endpoint. */
export interface Evidence {
  readonly crashes: Map<string, Crash>;
}

/** A suspect in line, and since when; epoch milliseconds. */
export interface Isolated {
  readonly requestId: string;
  readonly since: number;
}

/** A suspect that waits for an endpoint of its own, or runs on it. */
export interface Isolation {
  readonly waiting: Isolated[];
  /** The endpoint kept free of other requests; null when none is needed. */
  endpointId: string | null;
  /** The request that runs there now. */
  runningId: string | null;
}

/** What is known of requests that endpoints crashed under. */
export interface SuspectState {
  /** By fingerprint, the latest evidence last. */
  readonly evidence: Map<string, Evidence>;
  readonly isolations: Map<PoolId, Isolation>;
}

/** Creates the state of a VM that has seen no crash. */
export function createSuspectState(): SuspectState {
  return { evidence: new Map(), isolations: new Map() };
}
