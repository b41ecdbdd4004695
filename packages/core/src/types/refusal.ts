import type { Verdict } from './verdict.js';

/** Codes of the errors that callers may see. */
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

/** Code of an error that a caller may see. */
export type RefusalCode = (typeof refusalCodes)[number];

/** A final answer that is not a whole one, and what is true about it. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  readonly verdict: Verdict;
  /** True when the same request may be sent again without running twice. */
  readonly retryable: boolean;
  /** When to come back, in milliseconds; null when that is not known. */
  readonly retryAfterMs: number | null;
}
