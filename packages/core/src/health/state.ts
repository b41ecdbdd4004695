/** Whether an endpoint gets requests: normally, not at all, or one at a time as a trial. */
export type HealthPhase = 'healthy' | 'ejected' | 'probation';

/** Why an endpoint was ejected. */
export type EjectionCause = 'failures' | 'straggler';

/** Health of one endpoint; times are epoch milliseconds. */
export interface EndpointHealth {
  phase: HealthPhase;
  /** Cause of the latest ejection. */
  cause: EjectionCause;
  consecutiveFailures: number;
  /** Time of the latest ejection; 0 before the first. */
  ejectedAt: number;
  /** When the ejection time ends and a probe is due; while probing, when the probe began. */
  ejectedUntil: number;
  /** True while a probe is in progress. */
  isProbing: boolean;
  /** Ejections since it was last healthy; each doubles the next ejection time. */
  ejections: number;
  /** Smoothed time between a stream's tokens, in milliseconds; null until measured. */
  tokenGapMs: number | null;
  /** Time of the scan that last updated `tokenGapMs`. */
  tokenGapAt: number;
  /** Consecutive scans in which it was far slower than its pool. */
  slowScans: number;
}

/** Health of the endpoints, by id. */
export interface HealthState {
  readonly endpoints: Map<string, EndpointHealth>;
  /** Tokens that each attempt had produced at the last scan, by attempt id. */
  tokensByAttempt: Map<string, number>;
  /** Time of the last scan; epoch milliseconds. */
  scannedAt: number;
}

/** Creates the state in which every endpoint counts as healthy. */
export function createHealthState(): HealthState {
  return { endpoints: new Map(), tokensByAttempt: new Map(), scannedAt: 0 };
}

/** Creates the health of an endpoint without observations. */
export function createEndpointHealth(): EndpointHealth {
  return {
    phase: 'healthy',
    cause: 'failures',
    consecutiveFailures: 0,
    ejectedAt: 0,
    ejectedUntil: 0,
    isProbing: false,
    ejections: 0,
    tokenGapMs: null,
    tokenGapAt: 0,
    slowScans: 0,
  };
}
