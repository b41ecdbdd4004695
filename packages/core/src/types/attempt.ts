import type { Verdict } from './verdict.js';

/** Why an attempt failed. */
export type FailureCause =
  // No connection to the endpoint could be opened.
  | 'connect'
  // The endpoint takes no more requests now: status 429 or 503.
  | 'refused'
  // The connection broke.
  | 'reset'
  // Nothing arrived on the connection for too long.
  | 'silent'
  // The answer belongs to another attempt.
  | 'echo-mismatch'
  // An event of the stream cannot be read.
  | 'malformed'
  // The stream ended before its last event.
  | 'truncated'
  // Any other status from 500 on.
  | 'server-error'
  // Any other status of 400 to 499, or an answer that cannot be used.
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
  readonly resumeFromToken: number;
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

/**
 * How a request ended for its caller. `late`: answered after its deadline; `abandoned`: the caller
 * left; `joined`: the caller gets the answer to the request that holds the same key.
 */
export type Outcome = 'complete' | 'late' | 'shed' | 'refused' | 'failed' | 'abandoned' | 'joined';
