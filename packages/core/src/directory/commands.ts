import { recordDroppedEntry, recordListedEntry } from './departures.js';
import type { DirectoryState, RegisteredEndpoint } from './state.js';
import { compareEras, comparePositions, type StorePosition } from './storePosition.js';

/**
 * Time after the store's return in which entries that lapsed in its outage may be written again.
 */
export const LAPSE_GRACE_MS = 2000;

/** A change of one registry entry; `endpoint` is null when it was removed or cannot be read. */
export interface EntryChange {
  readonly id: string;
  readonly endpoint: RegisteredEndpoint | null;
  /** Whether the entry was removed; false for one that was written, readable or not. */
  readonly isRemoved: boolean;
}

function dropEndpoint(state: DirectoryState, endpoint: RegisteredEndpoint, now: number): void {
  state.endpoints.delete(endpoint.id);
  recordDroppedEntry(state, endpoint, now);
}

function removeEntry(state: DirectoryState, id: string, mayLapse: boolean, now: number): void {
  const endpoint = state.endpoints.get(id);
  if (endpoint === undefined || state.lapsed.has(id)) return;
  const lapses = mayLapse && endpoint.state === 'ready' && now < state.graceEndsAt;
  if (lapses) state.lapsed.set(id, state.graceEndsAt);
  else dropEndpoint(state, endpoint, now);
}

/** True for an entry of a copy of the store that says less than what is known of the endpoint. */
function isOutdated(
  { endpoints }: DirectoryState,
  { id, startedAt, state: phase }: RegisteredEndpoint,
): boolean {
  const known = endpoints.get(id);
  if (known === undefined) return false;
  if (known.startedAt === startedAt) return known.state === 'draining' && phase === 'ready';
  return (known.startedAt ?? 0) > (startedAt ?? 0);
}

// True when the endpoint has restarted under the same id.
function putEntry(state: DirectoryState, endpoint: RegisteredEndpoint, now: number): boolean {
  const before = state.endpoints.get(endpoint.id);
  const isRestarted = before !== undefined && before.startedAt !== endpoint.startedAt;
  if (isRestarted) recordDroppedEntry(state, before, now);
  state.endpoints.set(endpoint.id, endpoint);
  state.lapsed.delete(endpoint.id);
  return isRestarted;
}

/**
 * Applies a change of one entry; true when its endpoint has restarted under the same id. An entry
 * that cannot be read changes nothing: another writer may have left it.
 */
export function applyEntryChange(state: DirectoryState, change: EntryChange, now: number): boolean {
  const { id, endpoint, isRemoved } = change;
  if (endpoint !== null) {
    recordListedEntry(state, endpoint, null);
    return putEntry(state, endpoint, now);
  }
  if (isRemoved) removeEntry(state, id, true, now);
  return false;
}

/**
 * Replaces all entries by those of a position; an earlier position is ignored. An endpoint that a
 * peer with a working store does not list is removed at once, even while this VM's own store is
 * lost. One whose entry cannot be read stays as it is known, and so does one of which the store has
 * come back with an older entry. Returns the ids of endpoints that have restarted.
 */
export function replaceEntries(
  state: DirectoryState,
  endpoints: readonly RegisteredEndpoint[],
  position: StorePosition,
  now: number,
  source: 'store' | 'peer' = 'store',
  unreadableIds: readonly string[] = [],
): string[] {
  if (comparePositions(position, state) < 0) return [];
  const listed = new Set([...endpoints.map(({ id }) => id), ...unreadableIds]);
  const isEraNew = state.isEraUnread || compareEras(position.era, state.era) > 0;
  const current = endpoints.filter((endpoint) => !isEraNew || !isOutdated(state, endpoint));
  current.forEach((endpoint) => recordListedEntry(state, endpoint, position.era));
  const restarted = current.filter((endpoint) => putEntry(state, endpoint, now));
  state.revision = position.revision;
  state.era = position.era ?? state.era;
  state.isEraUnread = false;
  for (const id of [...state.endpoints.keys()]) {
    if (!listed.has(id)) removeEntry(state, id, source === 'store', now);
  }
  return restarted.map(({ id }) => id);
}

/** Records that the changes up to a position were read; the position never goes back. */
export function advanceRevision(state: DirectoryState, position: StorePosition): void {
  if (comparePositions(position, state) > 0) state.revision = position.revision;
}

/**
 * Records that the store is in an era. In a later one than before, revisions count anew, and entries
 * that the store has lost may be written again for some time.
 */
export function startEra(state: DirectoryState, era: number, now: number): void {
  const isLater = compareEras(era, state.era) > 0;
  state.era ??= era;
  if (!isLater) return;
  state.era = era;
  state.revision = Math.min(state.revision, 0);
  state.isEraUnread = true;
  state.graceEndsAt = Math.max(state.graceEndsAt, now + LAPSE_GRACE_MS);
}

/** Records that the store does not answer: entries of endpoints that still run may then lapse. */
export function markStoreLost(state: DirectoryState): void {
  state.isStoreLost = true;
  state.graceEndsAt = Number.POSITIVE_INFINITY;
  // The grace period of lapsed entries starts again when the store returns.
  state.lapsed.forEach((_, id) => state.lapsed.set(id, state.graceEndsAt));
}

/** Records that the store answers again. */
export function markStoreRegained(state: DirectoryState, now: number): void {
  if (!state.isStoreLost) return;
  state.isStoreLost = false;
  state.graceEndsAt = now + LAPSE_GRACE_MS;
  state.lapsed.forEach((_, id) => state.lapsed.set(id, state.graceEndsAt));
}

/** Removes the endpoints whose lapsed entries were not written again in time; returns their ids. */
export function removeLapsed(state: DirectoryState, now: number): string[] {
  const expired = [...state.lapsed].filter(([, expiresAt]) => expiresAt <= now).map(([id]) => id);
  expired.forEach((id) => {
    state.lapsed.delete(id);
    const endpoint = state.endpoints.get(id);
    if (endpoint !== undefined) dropEndpoint(state, endpoint, now);
  });
  return expired;
}
