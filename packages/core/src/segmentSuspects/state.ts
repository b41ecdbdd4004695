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
  /** Requests that this VM refused for it. */
  refusals: number;
}

/** A request that runs with a suspect while all others with the suspect are refused. */
export interface SegmentTrial {
  readonly vmId: string;
  /** False while the VM waits whether another VM announces the same trial. */
  readonly isRunning: boolean;
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
  /** By segment id or by the id of a combination. */
  readonly trials: Map<string, SegmentTrial>;
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
    unsentCrashes: [],
    unsentAnswers: [],
  };
}
