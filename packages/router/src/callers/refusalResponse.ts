import type { Refusal, RefusalCode } from '@filbertlatch/core';

const MS_PER_SECOND = 1000;

const statusByCode: Record<RefusalCode, number> = {
  invalid_request: 400,
  unknown_key: 401,
  class_not_allowed: 403,
  model_not_found: 404,
  service_not_found: 404,
  key_in_use: 409,
  key_reused: 422,
  suspect_request: 422,
  limit_reached: 429,
  overloaded: 429,
  queue_full: 429,
  deadline_unreachable: 503,
  no_endpoint: 503,
  claim_unavailable: 503,
  leaving: 503,
  not_ready: 503,
  endpoint_failed: 502,
  internal: 500,
};

const typeByStatus: Record<number, string> = {
  400: 'invalid_request_error',
  401: 'authentication_error',
  403: 'permission_error',
  404: 'not_found_error',
  409: 'conflict_error',
  422: 'invalid_request_error',
  429: 'rate_limit_error',
};

/** Returns the HTTP status of a refusal. */
export function refusalStatus(refusal: Refusal): number {
  return statusByCode[refusal.code];
}

/** Returns the body of a refusal in the error shape of the callers' API. */
export function refusalBody(refusal: Refusal, requestId: string) {
  return {
    error: {
      message: refusal.message,
      type: typeByStatus[statusByCode[refusal.code]] ?? 'server_error',
      param: null,
      code: refusal.code,
      run: refusal.verdict,
      retryable: refusal.retryable,
      request_id: requestId,
    },
  };
}

/** Returns the headers of a refusal; Retry-After is in whole seconds. */
export function refusalHeaders(refusal: Refusal, requestId: string): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': requestId,
    // Without it, client libraries would retry by status and repeat a request that may have run.
    'x-should-retry': String(refusal.retryable),
  };
  if (refusal.retryAfterMs !== null) {
    headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND));
  }
  return headers;
}
