import type { FailureCause, Verdict } from '@filbertlatch/core';

/** Why an attempt broke, and whether the request may have run. */
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

const UNSENT_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

/** Turns any error of a call into an AttemptError; what is not known may have run. */
export function toAttemptError(error: unknown): AttemptError {
  if (error instanceof AttemptError) return error;
  const { code, message, syscall } = error as {
    code?: string;
    message?: string;
    syscall?: string;
  };
  const text = message ?? String(error);
  // An open connection may break with the codes of a failed connect too.
  if (syscall === 'connect' || UNSENT_CODES.has(code ?? '')) {
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
