import type { Verdict } from './verdict.js';

/** Codes of the errors that callers receive. */
export const refusalCodes = [
  'invalid_request',
  'unknown_key',
  'class_not_allowed',
  'model_not_found',
  'service_not_found',
  'limit_reached',
  'overloaded',
  'deadline_unreachable',
  'queue_full',
  'no_endpoint',
  'endpoint_failed',
  'key_reused',
  'key_in_use',
  'claim_unavailable',
  'suspect_request',
  'leaving',
  'not_ready',
  'internal',
] as const;

/** Code of an error that a caller receives. */
export type RefusalCode = (typeof refusalCodes)[number];

/** Final error answer to a caller. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  /** Whether the request may have run. */
  readonly verdict: Verdict;
  /** Whether the same request may be sent again without running twice. */
  readonly retryable: boolean;
  /** Wait before sending it again, in milliseconds; null when not known. */
  readonly retryAfterMs: number | null;
}
