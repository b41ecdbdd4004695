import type { Core } from './core.js';

/** Retries that each request of a class earns for its class. */
const RETRIES_PER_REQUEST = 0.15;

/** Retries that a class has at first. */
const INITIAL_RETRIES = 10;

/** Most retries that a class can save, for an endpoint that crashes under many requests. */
const MAX_RETRIES = 200;

/** Lets a new request earn its part of a retry for its class. */
export function depositRetry(core: Core, classId: string): void {
  const saved = core.retryBudgets.get(classId) ?? INITIAL_RETRIES;
  core.retryBudgets.set(classId, Math.min(MAX_RETRIES, saved + RETRIES_PER_REQUEST));
}

/** Takes a retry from a class's budget; false when it is used up. */
export function withdrawRetry(core: Core, classId: string): boolean {
  const saved = core.retryBudgets.get(classId) ?? INITIAL_RETRIES;
  if (saved < 1) return false;
  core.retryBudgets.set(classId, saved - 1);
  return true;
}
