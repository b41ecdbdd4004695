import type { TableView } from '../table/index.js';
import type { Limit } from '../types/index.js';

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
