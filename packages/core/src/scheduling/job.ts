/** One part of a prompt, in order; requests with the same parts share a cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a generation asks of an engine; null of a plain request. */
export interface GenerationSize {
  readonly promptTokens: number;
  /** Most output tokens, or the caller's estimate when that is lower. */
  readonly outputTokens: number;
  readonly parts: readonly PromptPart[];
}

/** One request as the scheduler sees it. */
export interface Job {
  readonly id: string;
  readonly routeId: string;
  readonly serviceId: string;
  /** Rank among all requests: 0 is the most urgent. */
  readonly priority: number;
  readonly size: GenerationSize | null;
  /** Memory of one engine of the service, in tokens; null when it is not told. */
  readonly kvTokens: number | null;
  /** Tokens in one event of a stream of the service. */
  readonly tokensPerEvent: number;
  /** Time to the first event, or answer, that earns full worth; milliseconds from arrival. */
  readonly targetMs: number;
  /** Longest pause between events that earns full worth; null where any will do. */
  readonly gapTargetMs: number | null;
  /** Time left until nobody waits for the answer. */
  readonly remainingMs: number;
}
