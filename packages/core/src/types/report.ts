/** An engine's own report of its load. */
export interface LoadReport {
  readonly endpointId: string;
  /** Instant that the report describes, epoch milliseconds. */
  readonly measuredAt: number;
  /** Number of running requests. */
  readonly running: number;
  /** Number of waiting requests. */
  readonly waiting: number;
  readonly waitingTokens: number;
  readonly tokensPerSecond: number;
  /** Models loaded now, as `id` or `id@version`. */
  readonly models: readonly string[];
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  readonly endpointId: string;
  /** A gap in the sequence means that events were lost. */
  readonly sequence: number;
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}
