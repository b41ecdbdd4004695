import type { PoolId } from '../types/index.js';

/**
 * One crash of an endpoint while it ran a given request. It lies between the two times; one crash
 * ends all attempts of the request there, so their times overlap.
 */
export interface Crash {
  readonly endpointId: string;
  /** Latest time at which an attempt that it ended was sent; epoch milliseconds. */
  startedAt: number;
  /** Earliest time at which such an attempt ended; epoch milliseconds. */
  at: number;
  /** True when the request ran there in isolation. */
  isAlone: boolean;
}

/** Crashes that a request is suspected of. */
export interface CrashHistory {
  /** Oldest record first. */
  readonly crashes: Crash[];
  /** Time of the latest crash when a peer reports the request as refused; else null. */
  refusedAt: number | null;
}

/** A trial of suspect segments. */
export interface AttemptTrial {
  /** Suspect segment, or the id of a combination. */
  readonly subject: string;
  readonly holder: string;
}

/** An attempt that ended without a certainly complete answer; its endpoint may have crashed. */
export interface LostAttempt {
  /** Null when it does not speak against its request. */
  readonly fingerprint: string | null;
  /** Time at which it was sent; epoch milliseconds. */
  readonly startedAt: number;
  /** Time at which it ended; epoch milliseconds. */
  readonly at: number;
  /** True when its connection broke and no health check has succeeded since. */
  isPresumedCrash: boolean;
  /** Shared segments of the prompt; empty when the endpoint had begun to answer and lived on. */
  readonly segmentIds: readonly string[];
  readonly serviceId: string;
  /** The trial that the attempt was; null for none. */
  readonly trial: AttemptTrial | null;
  /** True when it got an answer that is complete unless the endpoint crashed. */
  readonly hasAnswer: boolean;
}

/** A lost attempt, and what the endpoint has shown since. */
export interface TracedAttempt extends LostAttempt {
  /** True when its connection broke: the endpoint may have been back when it was next heard. */
  readonly isBroken: boolean;
  /** True when the endpoint was heard after it, without a break between. */
  isSurvived: boolean;
}

/** What points to a crash of one endpoint. */
export interface EndpointTrace {
  /** Oldest first. */
  readonly lostAttempts: TracedAttempt[];
  /** Time at which the endpoint was last found to have ended; epoch milliseconds, or null. */
  endedAt: number | null;
  /** Time by which it had ended: since then it gave no sign of life; epoch milliseconds, or null. */
  silentSince: number | null;
  /** True while it is not known to have given a sign of life since then. */
  isSilent: boolean;
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
  /** By request fingerprint, the one reported to peers last at the end. */
  readonly crashHistories: Map<string, CrashHistory>;
  /**
   * By request fingerprint, the time of the latest complete answer after a crash: crashes before it
   * do not count. Epoch milliseconds.
   */
  readonly answeredAt: Map<string, number>;
  /** By endpoint id. */
  readonly endpointTraces: Map<string, EndpointTrace>;
  readonly isolations: Map<PoolId, Isolation>;
}

/** Creates the state of a VM without recorded crashes. */
export function createSuspectState(): SuspectState {
  return {
    crashHistories: new Map(),
    answeredAt: new Map(),
    endpointTraces: new Map(),
    isolations: new Map(),
  };
}
