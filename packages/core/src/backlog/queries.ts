import type { AccountBacklog, Backlog, BacklogEntry, PriorityBacklog } from './state.js';

/** Returns the most urgent priority of which requests wait; undefined without any. */
export function mostUrgentPriority({ priorities }: Backlog): number | undefined {
  return priorities.size === 0 ? undefined : Math.min(...priorities.keys());
}

/** Returns the account that is served next, with its id; undefined without any. */
export function leastServedAccount({
  accounts,
}: PriorityBacklog): [string | null, AccountBacklog] | undefined {
  let least: [string | null, AccountBacklog] | undefined;
  accounts.forEach((account, id) => {
    if (least === undefined || account.virtualTime < least[1].virtualTime) least = [id, account];
  });
  return least;
}

/** Counts the requests that would begin before one that is added now. */
function countAhead({ priorities }: Backlog, { accountId, beginBy, priority }: BacklogEntry) {
  let ahead = 0;
  priorities.forEach(({ accounts }, ofPriority) => {
    if (ofPriority > priority) return;
    const own = accounts.get(accountId)?.entries ?? [];
    const ownAhead = own.filter((entry) => entry.beginBy <= beginBy).length;
    accounts.forEach(({ entries }) => {
      if (ofPriority < priority) ahead += entries.length;
      else if (entries === own) ahead += ownAhead;
      else ahead += Math.min(entries.length, ownAhead + 1);
    });
  });
  return ahead;
}

/** Predicts the time until a request that is added now begins, in milliseconds. */
export function predictBeginMs(backlog: Backlog, entry: BacklogEntry, now: number): number {
  if (backlog.size === 0) return 0;
  const { meanIntervalMs, steppedAt } = backlog;
  // Of the present interval, no more is known than that it lasts so long already.
  const intervalMs = Math.max(meanIntervalMs, Math.min(now - steppedAt, 2 * meanIntervalMs));
  return countAhead(backlog, entry) * intervalMs;
}
