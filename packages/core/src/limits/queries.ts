import type { TableView } from '../table/index.js';
import type { Limit } from '../types/index.js';
import type { Bucket } from './state.js';

/** Returns the limits that apply to a request of an account in a class. */
export function listLimits(view: TableView, accountId: string, classId: string): Limit[] {
  const limits: Limit[] = [];
  for (const limit of view.limits.values()) {
    const accountFits = limit.account === undefined || limit.account === accountId;
    const classFits = limit.class === undefined || limit.class === classId;
    if (accountFits && classFits) limits.push(limit);
  }
  return limits;
}

/** Returns the tokens per second that a limit lets this VM pass: its floor and its lease. */
export function passRate(
  bucket: Bucket | undefined,
  limit: Limit,
  vms: number,
  now: number,
): number {
  const floor = (limit.tokensPerSecond * limit.floor) / Math.max(1, vms);
  if (bucket === undefined || bucket.leasedUntil <= now) return floor;
  return floor + bucket.leased;
}
