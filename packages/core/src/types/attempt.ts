import type { Verdict } from './verdict.js';

/** Why an attempt failed. */
export type FailureCause =
  | 'connect'
  | 'refused'
  | 'reset'
  | 'silent'
  | 'echo-mismatch'
  | 'malformed'
  | 'truncated'
  | 'server-error'
  | 'invalid'
  | 'timeout';

/** One try of a request at one endpoint. */
export interface Attempt {
  readonly id: string;
  readonly requestId: string;
  readonly endpointId: string;
  /** Epoch milliseconds. */
  readonly startedAt: number;
  /** Number of tokens that the caller already has; the endpoint continues after them. */
  readonly resumeFrom: number;
  /** Stream to resume at the endpoint; null starts a new one. */
  readonly resumeStream: string | null;
}

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: 'complete'; readonly outputTokens: number }
  | { readonly kind: 'cancelled'; readonly verdict: Verdict }
  | {
      readonly kind: 'failed';
      readonly cause: FailureCause;
      readonly verdict: Verdict;
      /** Number of tokens that this attempt delivered to the caller. */
      readonly delivered: number;
      /** HTTP status of the endpoint's answer; null without one. */
      readonly status: number | null;
      /** Wait that the endpoint asked for, in milliseconds; null when it named none. */
      readonly retryAfterMs: number | null;
    };

/** How a request ended for its caller. */
export type Outcome = 'complete' | 'late' | 'shed' | 'refused' | 'failed' | 'abandoned' | 'joined';
