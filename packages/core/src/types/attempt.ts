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

/** One try of a request at one endpoint. Instants are epoch milliseconds. */
export interface Attempt {
  readonly id: string;
  readonly requestId: string;
  readonly endpointId: string;
  readonly startedAt: number;
  /** Tokens the caller already has; the endpoint continues after them. */
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
      /** Tokens delivered to the caller by this attempt. */
      readonly delivered: number;
      /** HTTP status the endpoint answered; null when it answered none. */
      readonly status: number | null;
      readonly retryAfterMs: number | null;
    };

/** How a request ended for its caller. */
export type Outcome = 'complete' | 'late' | 'shed' | 'refused' | 'failed' | 'abandoned' | 'joined';
