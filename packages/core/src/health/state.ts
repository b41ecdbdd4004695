/** Whether an endpoint gets requests: all, none, or one at a time to see how it does. */
export type HealthPhase = 'healthy' | 'ejected' | 'probation';

/** Why an endpoint was ejected. */
export type EjectionCause = 'failures' | 'straggler';

/** What is known of one endpoint's health. */
export interface EndpointHealth {
  phase: HealthPhase;
  cause: EjectionCause;
  consecutiveFailures: number;
  /** Until this instant it gets no requests; then a probe decides. */
  ejectedUntil: number;
  /** True while a probe is under way. */
  isProbed: boolean;
  ejections: number;
  /** Time between tokens of its streams lately, in milliseconds; null when none ran. */
  gapMs: number | null;
  /** Instant of the scan that `gapMs` was last measured by. */
  gapAt: number;
  /** Scans in a row in which it was far behind its pool. */
  slowScans: number;
}

/** Health of the endpoints, by id. */
export interface HealthState {
  readonly endpoints: Map<string, EndpointHealth>;
  /** Tokens of each attempt at the last scan, by attempt. */
  progress: Map<string, number>;
  scannedAt: number;
}

/** Creates the state in which every endpoint is taken to be healthy. */
export function createHealthState(): HealthState {
  return { endpoints: new Map(), progress: new Map(), scannedAt: 0 };
}

/** Creates the health of an endpoint that nothing is known of. */
export function createEndpointHealth(): EndpointHealth {
  return {
    phase: 'healthy',
    cause: 'failures',
    consecutiveFailures: 0,
    ejectedUntil: 0,
    isProbed: false,
    ejections: 0,
    gapMs: null,
    gapAt: 0,
    slowScans: 0,
  };
}
