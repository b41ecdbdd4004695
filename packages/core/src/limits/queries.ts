import type { TableView } from '../table/index.js';
import type { Limit } from '../types/index.js';
import type { TokenBucket } from './state.js';

/** Lists the limits that apply to a request of an account in a class. */
export function listLimits(view: TableView, accountId: string, classId: string): Limit[] {
  const limits: Limit[] = [];
  for (const limit of view.limits.values()) {
    const accountFits = limit.account === undefined || limit.account === accountId;
    const classFits = limit.class === undefined || limit.class === classId;
    if (accountFits && classFits) limits.push(limit);
  }
  return limits;
}

/**
 * Returns the tokens per second that a limit allows this VM: an equal part of the limit's floor,
 * plus the lease while it lasts.
 */
export function computeAllowedRate(
  bucket: TokenBucket | undefined,
  limit: Limit,
  vmCount: number,
  now: number,
): number {
  const floorRate = (limit.tokensPerSecond * limit.floor) / Math.max(1, vmCount);
  if (bucket === undefined || bucket.leasedUntil <= now) return floorRate;
  return floorRate + bucket.leasedTokensPerSecond;
}
