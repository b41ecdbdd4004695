import type { AttemptEnd, Outcome, PoolId, RefusalCode, Verdict } from '@filbertlatch/core';

/** Load that this VM had on one endpoint when it chose where to place a request. */
export interface Candidate {
  readonly endpointId: string;
  readonly zone: string;
  readonly inFlight: number;
  readonly slots: number;
}

/** One event in the course of a request; `at` is in epoch milliseconds. */
export type DecisionStep =
  | {
      readonly kind: 'queued';
      readonly at: number;
      /** Waiting requests of the same pool, by class. */
      readonly waiting: Readonly<Record<string, number>>;
    }
  | {
      readonly kind: 'dispatched';
      readonly at: number;
      readonly attemptId: string;
      readonly chosen: Candidate;
      readonly poolSize: number;
      /** The first few other endpoints of the pool. */
      readonly others: readonly Candidate[];
    }
  | { readonly kind: 'accepted'; readonly at: number }
  | { readonly kind: 'first-token'; readonly at: number }
  | {
      readonly kind: 'attempt-ended';
      readonly at: number;
      readonly end: AttemptEnd['kind'];
      readonly cause: string | null;
      readonly verdict: Verdict;
    }
  | { readonly kind: 'caller-left'; readonly at: number }
  | { readonly kind: 'joined'; readonly at: number; readonly joined: string }
  | {
      readonly kind: 'refused';
      readonly at: number;
      readonly code: RefusalCode;
      readonly message: string;
      readonly verdict: Verdict;
      readonly retryAfterMs: number | null;
    }
  | { readonly kind: 'ended'; readonly at: number; readonly outcome: Outcome };

/** Decisions about one request; contains no prompt, answer or key. */
export interface DecisionRecord {
  readonly requestId: string;
  readonly accountId: string;
  readonly classId: string;
  readonly pool: PoolId;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly promptTokens: number;
  readonly steps: DecisionStep[];
}
