import type { AttemptEnd, Outcome, PoolId, RefusalCode, Verdict } from '@filbertlatch/core';

/** What this VM had at one endpoint when it chose. */
export interface Candidate {
  readonly endpointId: string;
  readonly zone: string;
  readonly inFlight: number;
  readonly slots: number;
}

/** One step of a request through the decisions; `at` is in epoch milliseconds. */
export type DecisionStep =
  | {
      readonly kind: 'queued';
      readonly at: number;
      readonly waiting: Readonly<Record<string, number>>;
    }
  | {
      readonly kind: 'dispatched';
      readonly at: number;
      readonly attemptId: string;
      readonly chosen: Candidate;
      readonly poolSize: number;
      /** Other endpoints of the pool, the first few. */
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

/** What was decided about one request; carries no prompt, answer or key. */
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
