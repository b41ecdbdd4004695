import type { Core } from './core.js';

/** Retries that each new request adds to its class's budget. */
const RETRIES_PER_REQUEST = 0.15;

/** Initial budget of a class, in retries. */
const INITIAL_RETRIES = 10;

/** Largest budget of a class, in retries; covers an endpoint that crashes under many requests. */
const MAX_RETRIES = 200;

/** Adds a new request's fraction of a retry to its class's budget. */
export function depositRetry(core: Core, classId: string): void {
  const balance = core.retryBudgets.get(classId) ?? INITIAL_RETRIES;
  core.retryBudgets.set(classId, Math.min(MAX_RETRIES, balance + RETRIES_PER_REQUEST));
}

/** Takes a retry from a class's budget; false when less than one is left. */
export function withdrawRetry(core: Core, classId: string): boolean {
  const balance = core.retryBudgets.get(classId) ?? INITIAL_RETRIES;
  if (balance < 1) return false;
  core.retryBudgets.set(classId, balance - 1);
  return true;
}
