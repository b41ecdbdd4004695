import { leastServedAccount, mostUrgentPriority, predictBeginMs } from './queries.js';
import {
  INITIAL_INTERVAL_MS,
  type AccountBacklog,
  type Backlog,
  type BacklogEntry,
  type PriorityBacklog,
} from './state.js';

/** Most requests that wait. */
const MAX_ENTRIES = 1024;

/** Largest sum of the sizes of their bodies. */
const MAX_BYTES = 16_777_216;

/** Weight of the latest interval in the mean, and its largest length compared with it. */
const INTERVAL_SMOOTHING = 0.1;
const MAX_INTERVAL_FACTOR = 4;

function getOrCreatePriority({ priorities }: Backlog, priority: number): PriorityBacklog {
  const known = priorities.get(priority);
  if (known !== undefined) return known;
  const created = { accounts: new Map(), virtualTime: 0 };
  priorities.set(priority, created);
  return created;
}

function getOrCreateAccount(priority: PriorityBacklog, id: string | null): AccountBacklog {
  const known = priority.accounts.get(id);
  if (known !== undefined) return known;
  const created = { entries: [], virtualTime: priority.virtualTime };
  priority.accounts.set(id, created);
  return created;
}

function takeAt(backlog: Backlog, priority: number, id: string | null, index: number) {
  const ofPriority = backlog.priorities.get(priority)!;
  const { entries } = ofPriority.accounts.get(id)!;
  const [entry] = entries.splice(index, 1) as [BacklogEntry];
  if (entries.length === 0) ofPriority.accounts.delete(id);
  if (ofPriority.accounts.size === 0) backlog.priorities.delete(priority);
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
  const priority = getOrCreatePriority(backlog, entry.priority);
  const { entries } = getOrCreateAccount(priority, entry.accountId);
  const behind = entries.findIndex(({ beginBy }) => beginBy > entry.beginBy);
  entries.splice(behind < 0 ? entries.length : behind, 0, entry);
  backlog.size += 1;
  backlog.bytes += entry.bytes;
  return true;
}

/** Removes a request; false when it does not wait. */
export function removeFromBacklog(backlog: Backlog, entry: BacklogEntry): boolean {
  const { accountId, priority } = entry;
  const account = backlog.priorities.get(priority)?.accounts.get(accountId);
  const index = account?.entries.indexOf(entry) ?? -1;
  if (index < 0) return false;
  takeAt(backlog, priority, accountId, index);
  return true;
}

/**
 * Takes the next request to begin: of the most urgent priority, of the account that was served least,
 * the one that must begin first. Undefined when none waits.
 */
export function takeFromBacklog(backlog: Backlog, now: number): BacklogEntry | undefined {
  const priority = mostUrgentPriority(backlog);
  if (priority === undefined) return undefined;
  const ofPriority = backlog.priorities.get(priority)!;
  const [id, account] = leastServedAccount(ofPriority)!;
  ofPriority.virtualTime = account.virtualTime;
  account.virtualTime += 1;
  const { meanIntervalMs } = backlog;
  const intervalMs = Math.max(0, now - backlog.steppedAt);
  const countedMs = Math.min(intervalMs, MAX_INTERVAL_FACTOR * meanIntervalMs);
  backlog.meanIntervalMs += INTERVAL_SMOOTHING * (countedMs - meanIntervalMs);
  backlog.steppedAt = now;
  return takeAt(backlog, priority, id, 0);
}

/** Takes the requests that it is too late to begin. */
export function takeOverdue(backlog: Backlog, now: number): BacklogEntry[] {
  const overdue: BacklogEntry[] = [];
  [...backlog.priorities].forEach(([priority, { accounts }]) => {
    [...accounts].forEach(([id, { entries }]) => {
      while (entries.length > 0 && entries[0]!.beginBy < now) {
        overdue.push(takeAt(backlog, priority, id, 0));
      }
    });
  });
  return overdue;
}
