/** Tokens that one limit lets this VM pass now. */
export interface Bucket {
  tokens: number;
  filledAt: number;
}

/** Buckets of the limits that were used lately, by limit id. */
export interface LimitState {
  readonly buckets: Map<string, Bucket>;
}

/** Creates the state in which no limit was used. */
export function createLimitState(): LimitState {
  return { buckets: new Map() };
}
