import type { AccountBacklog, Backlog, BacklogEntry, RankBacklog } from './state.js';

/** Returns the most urgent rank of which requests wait; undefined without any. */
export function mostUrgentRank({ ranks }: Backlog): number | undefined {
  return ranks.size === 0 ? undefined : Math.min(...ranks.keys());
}

/** Returns the account that is served next, with its id; undefined without any. */
export function leastServedAccount({
  accounts,
}: RankBacklog): [string | null, AccountBacklog] | undefined {
  let least: [string | null, AccountBacklog] | undefined;
  accounts.forEach((account, id) => {
    if (least === undefined || account.virtualTime < least[1].virtualTime) least = [id, account];
  });
  return least;
}

/** Returns the rank of a request, 0 for the first. */
export function rankOfEntry({ isLate, priority }: BacklogEntry): number {
  return 2 * priority + (isLate ? 1 : 0);
}

/** Counts the requests that would begin before one that is added now. */
function countAhead({ ranks }: Backlog, entry: BacklogEntry): number {
  const rank = rankOfEntry(entry);
  let ahead = 0;
  ranks.forEach(({ accounts }, ofRank) => {
    if (ofRank > rank) return;
    const own = accounts.get(entry.accountId)?.entries ?? [];
    const ownAhead = own.filter(({ beginBy }) => beginBy <= entry.beginBy).length;
    accounts.forEach(({ entries }) => {
      if (ofRank < rank) ahead += entries.length;
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
