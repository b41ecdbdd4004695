import { addToRate, createDecayingRate, decayedSum, type DecayingRate } from '../shared/index.js';

/** Limits on the retries of all VMs together at one service, within a sliding window. */
export interface RetryLimits {
  /** Retries allowed per request within the window, where retries do not count as requests. */
  readonly ratio: number;
  /** Retries allowed in addition within the window, shared by all VMs. */
  readonly slack: number;
  /** Length of the sliding window. */
  readonly windowMs: number;
}

/** Decaying counts of this VM's requests (without retries) and retries at one service. */
interface RetryCounts {
  readonly requests: DecayingRate;
  readonly repeats: DecayingRate;
}

/** One VM's retry budgets by service; its share needs no coordination with the other VMs. */
export interface RetryBudget {
  readonly bounds: RetryLimits;
  readonly counts: Map<string, RetryCounts>;
}

/**
 * Fraction of the limits that is used. A retry at the start of a window has decayed to no less than
 * this fraction at its end, so the decayed sum never falls below this fraction of the retries in
 * the window.
 */
const SAFE_FRACTION = 0.6;

/** Time constant of the decay of retries, in windows. */
const RETRY_DECAY_WINDOWS = 2;

/** Creates the budget of a VM that has made no request. */
export function createRetryBudget(bounds: RetryLimits): RetryBudget {
  return { bounds, counts: new Map() };
}

function getOrCreateCounts({ bounds, counts }: RetryBudget, serviceId: string): RetryCounts {
  let serviceCounts = counts.get(serviceId);
  if (serviceCounts === undefined) {
    serviceCounts = {
      requests: createDecayingRate(bounds.windowMs),
      repeats: createDecayingRate(bounds.windowMs * RETRY_DECAY_WINDOWS),
    };
    counts.set(serviceId, serviceCounts);
  }
  return serviceCounts;
}

/** Counts a request at a service, but not its retries; it adds `ratio` retries to the budget. */
export function creditRequest(budget: RetryBudget, serviceId: string, now: number): void {
  addToRate(getOrCreateCounts(budget, serviceId).requests, 1, now);
}

/** Takes one retry at a service from the budget of one of `vms` VMs; false when it is used up. */
export function takeRetry(
  budget: RetryBudget,
  serviceId: string,
  vms: number,
  now: number,
): boolean {
  const { ratio, slack } = budget.bounds;
  const { requests, repeats } = getOrCreateCounts(budget, serviceId);
  const maxRetries = SAFE_FRACTION * (ratio * decayedSum(requests, now) + slack / vms);
  if (decayedSum(repeats, now) + 1 > maxRetries) return false;
  addToRate(repeats, 1, now);
  return true;
}
