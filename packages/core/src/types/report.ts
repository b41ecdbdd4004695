/** An engine's own report of its load; `measuredAt` is the past moment it describes. */
export interface LoadReport {
  readonly endpointId: string;
  readonly measuredAt: number;
  readonly running: number;
  readonly waiting: number;
  readonly waitingTokens: number;
  readonly tokensPerSecond: number;
  /** Models loaded now, as `id` or `id@version`. */
  readonly models: readonly string[];
}

/** A change of an engine's prefix cache; a gap in `sequence` means lost events. */
export interface CacheEvent {
  readonly endpointId: string;
  readonly sequence: number;
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}
