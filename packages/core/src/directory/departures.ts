import type { Departure, DirectoryState, Lifetime, RegisteredEndpoint } from './state.js';
import { compareEras } from './storePosition.js';

/** How long a departure that a peer has passed on counts after its last message. */
const PEER_DEPARTURE_TTL_MS = 1000;

/** How long a departure is kept without an entry: longer than any copy of the store is old. */
const DEPARTURE_TTL_MS = 60_000;

/** Most departures in one message to a peer. */
export const MAX_REPORTED_DEPARTURES = 64;

/** An endpoint that leaves, in one of its lifetimes. */
export interface DepartureReport {
  readonly endpointId: string;
  readonly startedAt: number | null;
}

const lifetimeKey = ({ id, startedAt }: Lifetime) => `${id} ${startedAt}`;

function isRegistered({ endpoints }: DirectoryState, { id, startedAt }: Lifetime): boolean {
  return endpoints.get(id)?.startedAt === startedAt;
}

function putDeparture(
  state: DirectoryState,
  { id, startedAt }: Lifetime,
  source: Departure['source'],
  now: number,
): void {
  const departure = { id, startedAt, source, era: state.era, toldAt: now };
  state.departures.set(lifetimeKey(departure), departure);
}

/** Records that an endpoint said in an answer to this VM that it leaves; false when that is known. */
export function recordDeparture(
  state: DirectoryState,
  endpoint: RegisteredEndpoint,
  now: number,
): boolean {
  const known = state.departures.get(lifetimeKey(endpoint));
  putDeparture(state, endpoint, 'answer', now);
  return known?.source !== 'answer';
}

/** Records that endpoints leave by what a peer says; returns those of which that is news. */
export function recordPeerDepartures(
  state: DirectoryState,
  reports: readonly DepartureReport[],
  now: number,
): string[] {
  const news: string[] = [];
  for (const { endpointId: id, startedAt } of reports) {
    const known = state.departures.get(lifetimeKey({ id, startedAt }));
    const isNews = known === undefined;
    if (isRegistered(state, { id, startedAt }) && (isNews || known.source === 'peer')) {
      if (isNews) news.push(id);
      putDeparture(state, { id, startedAt }, 'peer', now);
    }
  }
  return news;
}

/** Records that the store has dropped the entry of a lifetime, or has one of a later lifetime. */
export function recordDroppedEntry(state: DirectoryState, lifetime: Lifetime, now: number): void {
  const known = state.departures.get(lifetimeKey(lifetime));
  putDeparture(state, lifetime, known?.source === 'answer' ? 'answer' : 'store', now);
}

/**
 * Records that the store lists a lifetime in an era: it was written again if the store had dropped it in
 * that era. In a later one the entry may have come back with an older copy. `era` is null for an entry
 * that has just been written.
 */
export function recordListedEntry(
  { departures }: DirectoryState,
  lifetime: Lifetime,
  era: number | null,
): void {
  const key = lifetimeKey(lifetime);
  const known = departures.get(key);
  if (known?.source === 'store' && compareEras(known.era, era) === 0) departures.delete(key);
}

/** Records that an endpoint does not leave after all; true when it was thought to. */
export function revokeDeparture({ departures }: DirectoryState, endpoint: Lifetime): boolean {
  return departures.delete(lifetimeKey(endpoint));
}

/** Removes departures that no peer repeats, and those whose endpoints have been gone for long. */
export function removeStaleDepartures(state: DirectoryState, now: number): void {
  state.departures.forEach((departure, key) => {
    const { source, toldAt } = departure;
    const ttlMs = source === 'peer' ? PEER_DEPARTURE_TTL_MS : DEPARTURE_TTL_MS;
    const isKept = source !== 'peer' && isRegistered(state, departure);
    if (!isKept && toldAt < now - ttlMs) state.departures.delete(key);
  });
}

/** Says whether an endpoint leaves or has left, though it has an entry. */
export function isDeparting({ departures }: DirectoryState, endpoint: Lifetime): boolean {
  // Hot path: most of the time no endpoint leaves.
  return departures.size > 0 && departures.has(lifetimeKey(endpoint));
}

/** Says whether an endpoint is registered and takes requests, as far as is known. */
export function isTakingRequests(state: DirectoryState, endpointId: string): boolean {
  const endpoint = state.endpoints.get(endpointId);
  return endpoint?.state === 'ready' && !isDeparting(state, endpoint);
}

/** Lists the departures that registered endpoints told this VM, for its peers. */
export function listOwnDepartures(state: DirectoryState): DepartureReport[] {
  return [...state.departures.values()]
    .filter((departure) => departure.source === 'answer' && isRegistered(state, departure))
    .slice(-MAX_REPORTED_DEPARTURES)
    .map(({ id, startedAt }) => ({ endpointId: id, startedAt }));
}

/** Lists the endpoints that leave by what this VM knows itself and whose entries say that they are ready. */
export function listDoubtfulDepartures(state: DirectoryState): string[] {
  return [...state.departures.values()]
    .filter((departure) => departure.source !== 'peer' && isRegistered(state, departure))
    .filter(({ id }) => state.endpoints.get(id)?.state === 'ready')
    .map(({ id }) => id);
}
