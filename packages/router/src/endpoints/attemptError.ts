import type { FailureCause, Verdict } from '@filbertlatch/core';

/** Why an attempt failed, and whether the endpoint may have run the request. */
export class AttemptError extends Error {
  readonly failure: FailureCause;

  readonly verdict: Verdict;

  readonly status: number | null;

  readonly retryAfterMs: number | null;

  constructor(
    failure: FailureCause,
    verdict: Verdict,
    message: string,
    details: { status?: number; retryAfterMs?: number | null; cause?: unknown } = {},
  ) {
    super(message, { cause: details.cause });
    this.name = 'AttemptError';
    this.failure = failure;
    this.verdict = verdict;
    this.status = details.status ?? null;
    this.retryAfterMs = details.retryAfterMs ?? null;
  }
}

/** Error codes of a connection that never opened, so that nothing was sent. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

/** Turns any error of a call into an AttemptError; after an unknown error it may have run. */
export function toAttemptError(error: unknown): AttemptError {
  if (error instanceof AttemptError) return error;
  const { code, message, syscall } = error as {
    code?: string;
    message?: string;
    syscall?: string;
  };
  const text = message ?? String(error);
  // Other codes of a failed connect also occur on an open connection: the syscall tells them apart.
  if (syscall === 'connect' || CONNECT_ERROR_CODES.has(code ?? '')) {
    return new AttemptError('connect', 'not-run', text, { cause: error });
  }
  if (code === 'UND_ERR_RES_EXCEEDED_MAX_SIZE') {
    return new AttemptError('invalid', 'ran', 'the answer is too large', { cause: error });
  }
  if (code?.startsWith('UND_ERR_') === true && code.endsWith('TIMEOUT')) {
    return new AttemptError('silent', 'may-have-run', text, { cause: error });
  }
  return new AttemptError('reset', 'may-have-run', text, { cause: error });
}
