import { leastServedAccount, mostUrgentRank, predictBeginMs, rankOfEntry } from './queries.js';
import {
  INITIAL_INTERVAL_MS,
  type AccountBacklog,
  type Backlog,
  type BacklogEntry,
  type RankBacklog,
} from './state.js';

/** Most requests that wait. */
const MAX_ENTRIES = 1024;

/** Largest sum of the sizes of their bodies. */
const MAX_BYTES = 16_777_216;

/** Weight of the latest interval in the mean, and its largest length compared with it. */
const INTERVAL_SMOOTHING = 0.1;
const MAX_INTERVAL_FACTOR = 4;

function getOrCreateRank({ ranks }: Backlog, rank: number): RankBacklog {
  const known = ranks.get(rank);
  if (known !== undefined) return known;
  const created = { accounts: new Map(), virtualTime: 0 };
  ranks.set(rank, created);
  return created;
}

function getOrCreateAccount(ofRank: RankBacklog, id: string | null): AccountBacklog {
  const known = ofRank.accounts.get(id);
  if (known !== undefined) return known;
  const created = { entries: [], virtualTime: ofRank.virtualTime };
  ofRank.accounts.set(id, created);
  return created;
}

function takeAt(backlog: Backlog, rank: number, id: string | null, index: number) {
  const ofRank = backlog.ranks.get(rank)!;
  const { entries } = ofRank.accounts.get(id)!;
  const [entry] = entries.splice(index, 1) as [BacklogEntry];
  if (entries.length === 0) ofRank.accounts.delete(id);
  if (ofRank.accounts.size === 0) backlog.ranks.delete(rank);
  backlog.size -= 1;
  backlog.bytes -= entry.bytes;
  return entry;
}

/**
 * Adds a request; false when it could not be begun in time, or when the backlog is full. The caller
 * then refuses it.
 */
export function addToBacklog(backlog: Backlog, entry: BacklogEntry, now: number): boolean {
  if (backlog.size >= MAX_ENTRIES || backlog.bytes + entry.bytes > MAX_BYTES) return false;
  const predictedMs = predictBeginMs(backlog, entry, now);
  // Requests that come later may begin before.
  const marginMs = entry.isLate ? 0 : predictedMs;
  if (now + predictedMs + marginMs > entry.beginBy) return false;
  if (backlog.size === 0) {
    backlog.steppedAt = now;
    backlog.meanIntervalMs = INITIAL_INTERVAL_MS;
  }
  const ofRank = getOrCreateRank(backlog, rankOfEntry(entry));
  const { entries } = getOrCreateAccount(ofRank, entry.accountId);
  const behind = entries.findIndex(({ beginBy }) => beginBy > entry.beginBy);
  entries.splice(behind < 0 ? entries.length : behind, 0, entry);
  backlog.size += 1;
  backlog.bytes += entry.bytes;
  return true;
}

/** Removes a request; false when it does not wait. */
export function removeFromBacklog(backlog: Backlog, entry: BacklogEntry): boolean {
  const { accountId } = entry;
  const rank = rankOfEntry(entry);
  const account = backlog.ranks.get(rank)?.accounts.get(accountId);
  const index = account?.entries.indexOf(entry) ?? -1;
  if (index < 0) return false;
  takeAt(backlog, rank, accountId, index);
  return true;
}

/**
 * Takes the next request to begin: of the most urgent rank, of the account that was served least,
 * the one that must begin first. Undefined when none waits.
 */
export function takeFromBacklog(backlog: Backlog, now: number): BacklogEntry | undefined {
  const rank = mostUrgentRank(backlog);
  if (rank === undefined) return undefined;
  const ofRank = backlog.ranks.get(rank)!;
  const [id, account] = leastServedAccount(ofRank)!;
  ofRank.virtualTime = account.virtualTime;
  account.virtualTime += 1;
  const { meanIntervalMs } = backlog;
  const intervalMs = Math.max(0, now - backlog.steppedAt);
  const countedMs = Math.min(intervalMs, MAX_INTERVAL_FACTOR * meanIntervalMs);
  backlog.meanIntervalMs += INTERVAL_SMOOTHING * (countedMs - meanIntervalMs);
  backlog.steppedAt = now;
  return takeAt(backlog, rank, id, 0);
}

/** Takes the requests that it is too late to begin. */
export function takeOverdue(backlog: Backlog, now: number): BacklogEntry[] {
  const overdue: BacklogEntry[] = [];
  [...backlog.ranks].forEach(([rank, { accounts }]) => {
    [...accounts].forEach(([id, { entries }]) => {
      while (entries.length > 0 && entries[0]!.beginBy < now) {
        overdue.push(takeAt(backlog, rank, id, 0));
      }
    });
  });
  return overdue;
}
