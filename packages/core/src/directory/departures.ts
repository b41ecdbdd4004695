import type { DirectoryState, RegisteredEndpoint } from './state.js';

/** How long a departure that a peer has passed on counts after its last message. */
const PEER_DEPARTURE_TTL_MS = 1000;

/** Most departures in one message to a peer. */
export const MAX_REPORTED_DEPARTURES = 64;

/** An endpoint that leaves, in one of its lifetimes. */
export interface DepartureReport {
  readonly endpointId: string;
  readonly startedAt: number | null;
}

/** Records that an endpoint said in an answer to this VM that it leaves; false when that is known. */
export function recordDeparture(
  state: DirectoryState,
  { id, startedAt }: RegisteredEndpoint,
  now: number,
): boolean {
  const known = state.departures.get(id);
  state.departures.set(id, { startedAt, isFirstHand: true, toldAt: now });
  return known?.isFirstHand !== true || known.startedAt !== startedAt;
}

/** Records that endpoints leave by what a peer says; returns those of which that is news. */
export function recordPeerDepartures(
  state: DirectoryState,
  reports: readonly DepartureReport[],
  now: number,
): string[] {
  const news: string[] = [];
  for (const { endpointId, startedAt } of reports) {
    const known = state.departures.get(endpointId);
    const isRegistered = state.endpoints.get(endpointId)?.startedAt === startedAt;
    if (!isRegistered || known?.isFirstHand === true) continue;
    if (known === undefined) news.push(endpointId);
    state.departures.set(endpointId, { startedAt, isFirstHand: false, toldAt: now });
  }
  return news;
}

/** Records that an endpoint does not leave after all; true when it was thought to. */
export function revokeDeparture(state: DirectoryState, endpointId: string): boolean {
  return state.departures.delete(endpointId);
}

/** Removes departures of endpoints that are gone or restarted, and those that no peer repeats. */
export function removeStaleDepartures(state: DirectoryState, now: number): void {
  state.departures.forEach(({ startedAt, isFirstHand, toldAt }, id) => {
    const endpoint = state.endpoints.get(id);
    const isOver = endpoint === undefined || endpoint.startedAt !== startedAt;
    if (isOver || (!isFirstHand && toldAt < now - PEER_DEPARTURE_TTL_MS)) {
      state.departures.delete(id);
    }
  });
}

/** Says whether an endpoint leaves by its own answers. */
export function isDeparting({ departures }: DirectoryState, endpoint: RegisteredEndpoint): boolean {
  return (
    departures.get(endpoint.id)?.startedAt === endpoint.startedAt && departures.has(endpoint.id)
  );
}

/** Says whether an endpoint is registered and takes requests, as far as is known. */
export function isTakingRequests(state: DirectoryState, endpointId: string): boolean {
  const endpoint = state.endpoints.get(endpointId);
  return endpoint?.state === 'ready' && !isDeparting(state, endpoint);
}

/** Lists the departures that endpoints told this VM, for its peers. */
export function listOwnDepartures({ departures }: DirectoryState): DepartureReport[] {
  return [...departures]
    .filter(([, { isFirstHand }]) => isFirstHand)
    .slice(-MAX_REPORTED_DEPARTURES)
    .map(([endpointId, { startedAt }]) => ({ endpointId, startedAt }));
}

/** Lists the endpoints that told this VM that they leave and whose entries say that they are ready. */
export function listDoubtfulDepartures({ departures, endpoints }: DirectoryState): string[] {
  return [...departures]
    .filter(([id, { isFirstHand }]) => isFirstHand && endpoints.get(id)?.state === 'ready')
    .map(([id]) => id);
}
