import type { DirectoryState, RegisteredEndpoint } from './state.js';

/** Entries that lapsed in an outage of the store are back this long after its return. */
const RETURN_MS = 2000;

/** A change of one entry; `endpoint` is null when it was removed or names none. */
export interface EntryChange {
  readonly id: string;
  readonly endpoint: RegisteredEndpoint | null;
  /** True when the entry was removed, false when it was written and cannot be read. */
  readonly isRemoved: boolean;
}

function removeEntry(state: DirectoryState, id: string, isRemoved: boolean, now: number): void {
  const endpoint = state.endpoints.get(id);
  if (endpoint === undefined || state.missing.has(id)) return;
  const mayReturn = isRemoved && endpoint.state === 'ready' && now < state.settledAt;
  if (mayReturn) state.missing.set(id, state.settledAt);
  else state.endpoints.delete(id);
}

/** Returns true when the endpoint has started again under the id that it had. */
function putEntry(state: DirectoryState, endpoint: RegisteredEndpoint): boolean {
  const before = state.endpoints.get(endpoint.id);
  state.endpoints.set(endpoint.id, endpoint);
  state.missing.delete(endpoint.id);
  return before !== undefined && before.startedAt !== endpoint.startedAt;
}

/** Takes in one change of an entry; true when its endpoint has started again. */
export function applyEntry(state: DirectoryState, change: EntryChange, now: number): boolean {
  if (change.endpoint !== null) return putEntry(state, change.endpoint);
  removeEntry(state, change.id, change.isRemoved, now);
  return false;
}

/**
 * Takes in all entries as of a revision; an older reading changes nothing. Entries that a
 * peer with a store in order does not list are gone, even while this VM's own store is away.
 * Returns the ids of endpoints that have started again.
 */
export function applyEntries(
  state: DirectoryState,
  endpoints: readonly RegisteredEndpoint[],
  revision: number,
  now: number,
  source: 'store' | 'peer' = 'store',
): string[] {
  if (revision < state.revision) return [];
  const listed = new Set(endpoints.map(({ id }) => id));
  const restarted = endpoints.filter((endpoint) => putEntry(state, endpoint));
  for (const id of [...state.endpoints.keys()]) {
    if (!listed.has(id)) removeEntry(state, id, source === 'store', now);
  }
  state.revision = revision;
  return restarted.map(({ id }) => id);
}

/** Records that the reading has come to a revision. */
export function reachRevision(state: DirectoryState, revision: number): void {
  state.revision = Math.max(state.revision, revision);
}

/** Records that the store does not answer: entries may lapse that live on. */
export function loseStore(state: DirectoryState): void {
  state.isStoreLost = true;
  state.settledAt = Number.POSITIVE_INFINITY;
  // The time to return begins anew with the next return of the store.
  state.missing.forEach((_, id) => state.missing.set(id, state.settledAt));
}

/** Records that the store answers again. */
export function regainStore(state: DirectoryState, now: number): void {
  if (!state.isStoreLost) return;
  state.isStoreLost = false;
  state.settledAt = now + RETURN_MS;
  state.missing.forEach((_, id) => state.missing.set(id, state.settledAt));
}

/** Removes the endpoints whose entries did not return in time; returns their ids. */
export function dropMissing(state: DirectoryState, now: number): string[] {
  const gone = [...state.missing].filter(([, goneAt]) => goneAt <= now).map(([id]) => id);
  gone.forEach((id) => {
    state.missing.delete(id);
    state.endpoints.delete(id);
  });
  return gone;
}
