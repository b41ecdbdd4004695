/**
 * One crash of an endpoint while it had requests with a given segment that it had not begun to
 * answer. It lies between the two times, which overlap for all requests that it ended.
 */
export interface SegmentCrash {
  readonly endpointId: string;
  readonly serviceId: string;
  /** Latest time at which such a request was sent; epoch milliseconds. */
  startedAt: number;
  /** Earliest time at which such a request was lost; epoch milliseconds. */
  at: number;
  /** `own` when this VM saw it itself. */
  source: 'own' | 'peer';
}

/** What speaks against one segment, or against a combination of segments. */
export interface SegmentHistory {
  /** Oldest first; empty for a combination. */
  readonly crashes: SegmentCrash[];
  /** Trials under which endpoints ended, since the last answer. */
  failedTrials: number;
  /** Time of the latest failed trial; epoch milliseconds, or null. */
  failedAt: number | null;
  /** Service and endpoint of the latest failed trial. */
  failedServiceId: string | null;
  failedEndpointId: string | null;
  /** Requests that this VM refused for it since the latest failed trial. */
  refusals: number;
  /** `SegmentSuspectState.classified` at the latest failed trial. */
  classifiedBefore: number;
}

/** A request that runs with a suspect while all others with the suspect are refused. */
export interface SegmentTrial {
  /** Id of the VM, a slash, and a name of the request there. */
  readonly holder: string;
  /** False while the request waits whether another trial goes first. */
  readonly isRunning: boolean;
  /** Suspects in the request; they are tried together. */
  readonly suspects: number;
  /** Time from which it no longer holds; epoch milliseconds. */
  readonly endsAt: number;
}

/** News of one suspect that is still to be sent to peers. */
export interface UnsentNews<T> {
  readonly news: T;
  /** Messages left for it. */
  sendsLeft: number;
}

/** Segments of prompts under which endpoints crashed, by segment id. */
export interface SegmentSuspectState {
  /** By segment id or by the id of a combination, the one reported to peers last at the end. */
  readonly histories: Map<string, SegmentHistory>;
  /** Ids in `histories` with a failed trial. */
  readonly confirmed: Set<string>;
  /**
   * Time of the latest answer that began at an endpoint that lived on, by service and segment (see
   * `answerKey`), the least recent first; epoch milliseconds.
   */
  readonly answeredAt: Map<string, number>;
  /** By suspect. */
  readonly trials: Map<string, SegmentTrial>;
  /** Requests with segments that were classified while anything was recorded. */
  classified: number;
  readonly unsentCrashes: UnsentNews<SegmentCrashReport>[];
  readonly unsentAnswers: UnsentNews<SegmentAnswer>[];
}

/** A crash under a segment as VMs report it to each other. */
export interface SegmentCrashReport {
  readonly segmentId: string;
  readonly endpointId: string;
  readonly serviceId: string;
  /** Time at which the request was sent; epoch milliseconds. */
  readonly startedAt: number;
  /** Time at which the request was lost; epoch milliseconds. */
  readonly at: number;
}

/** An answer on a segment at an endpoint that lived on. */
export interface SegmentAnswer {
  readonly segmentId: string;
  readonly serviceId: string;
  /** Epoch milliseconds. */
  readonly at: number;
}

/** Creates the state of a VM that suspects no segment. */
export function createSegmentSuspectState(): SegmentSuspectState {
  return {
    histories: new Map(),
    confirmed: new Set(),
    answeredAt: new Map(),
    trials: new Map(),
    classified: 0,
    unsentCrashes: [],
    unsentAnswers: [],
  };
}
