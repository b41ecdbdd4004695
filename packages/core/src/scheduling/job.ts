/** A segment of a prompt; requests that begin with the same segments share prefix cache entries. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** Token counts of a generation. */
export interface GenerationSize {
  readonly promptTokens: number;
  /** Largest number of output tokens, or the caller's estimate when that is lower. */
  readonly outputTokens: number;
  /** Segments of the prompt, in order. */
  readonly segments: readonly PromptSegment[];
}

/** What scheduling needs to know of one request. */
export interface Job {
  readonly id: string;
  readonly routeId: string;
  readonly serviceId: string;
  /** Rank among all requests: 0 is the most urgent. */
  readonly priority: number;
  /** Token counts; null for a request to a plain service. */
  readonly size: GenerationSize | null;
  /** Requests that one engine of the service runs at once; null for a plain service. */
  readonly slots: number | null;
  /** KV cache memory of one engine of the service, in tokens; null when not configured. */
  readonly kvTokens: number | null;
  /** Output tokens per event in the service's streams. */
  readonly tokensPerEvent: number;
  /** Target for the first event, or for a plain answer, in milliseconds from arrival. */
  readonly targetMs: number;
  /** Target for the longest gap between events, in milliseconds; null when there is none. */
  readonly gapTargetMs: number | null;
  /** Time until the deadline, after which the caller no longer waits, in milliseconds. */
  readonly remainingMs: number;
}
