import { randomInteger, type Random } from '../shared/index.js';
import type { ContactState, PeerContact, ServiceSilence, StartedCheck } from './state.js';

/** A peer that has been silent for longer gets no request: it may be gone. */
export const MAX_PEER_SILENCE_MS = 600;

/**
 * Time after a loss in which a peer may still have heard from endpoints that all ended, and in which a
 * check of endpoints that live ends the loss.
 */
const MIN_CUT_MS = 400;

/** A peer that carries requests, and its VM id. */
export interface TransitPeer extends PeerContact {
  readonly id: string;
}

/** What the choice of a peer depends on. */
export interface TransitChoice {
  readonly serviceId: string;
  readonly zone: string;
  /** Version of this VM's configuration; a peer with an older one may reject the request. */
  readonly configurationVersion: number;
  /** VM ids of peers that did not take the request. */
  readonly tried: ReadonlySet<string>;
  /** Says whether a request arrives at a peer in time. */
  readonly isPrompt: (peerId: string) => boolean;
  /** Requests of this VM that a peer carries. */
  readonly ownTransits: (peerId: string) => number;
  readonly random: Random;
}

/** Returns the time since which no endpoint of a service was reached; null while in touch. */
export function lostSince({ services }: ContactState, serviceId: string): number | null {
  return services.get(serviceId)?.lostAt ?? null;
}

/** Returns the silence of a service's endpoints; null while some are heard. */
export function silenceOf({ services }: ContactState, serviceId: string): ServiceSilence | null {
  return services.get(serviceId)?.silence ?? null;
}

/** Lists the services whose endpoints are silent and not lost. */
export function listSilentServices({ services }: ContactState): string[] {
  return [...services]
    .filter(([, { lostAt, silence }]) => lostAt === null && silence !== null)
    .map(([id]) => id);
}

/** Says whether an endpoint has failed since the latest contact with its service. */
export function hasFailed(
  { services }: ContactState,
  serviceId: string,
  endpointId: string,
): boolean {
  return services.get(serviceId)?.failures.has(endpointId) ?? false;
}

/** Says whether an endpoint opened a connection and did not answer, at its latest failure. */
export function isSilent(
  { services }: ContactState,
  serviceId: string,
  endpointId: string,
): boolean {
  return services.get(serviceId)?.failures.get(endpointId)?.kind === 'silent';
}

/** Lists the services whose endpoints this VM cannot reach. */
export function listLostServices({ services }: ContactState): string[] {
  return [...services].filter(([, { lostAt }]) => lostAt !== null).map(([id]) => id);
}

/** Returns the time at which an endpoint of a service last answered on a new connection, or 0. */
export function lastContactAt({ services }: ContactState, serviceId: string): number {
  return services.get(serviceId)?.contactAt ?? 0;
}

/** Returns the time at which a peer last heard from a service, by what peers tell; 0 for none. */
export function lastPeerContactAt({ peers }: ContactState, serviceId: string): number {
  return Math.max(0, ...[...peers.values()].map(({ contactAt }) => contactAt.get(serviceId) ?? 0));
}

/** Notes what is known of a service as a check of one of its endpoints starts. */
export function startCheck(state: ContactState, serviceId: string, now: number): StartedCheck {
  return { startedAt: now, peerContactAt: lastPeerContactAt(state, serviceId) };
}

/**
 * Says whether a service is lost to this VM while a peer has heard from it since: it is the links of
 * this VM that fail, not the endpoints.
 */
export function isCutOff(state: ContactState, serviceId: string): boolean {
  const lostAt = lostSince(state, serviceId);
  return lostAt !== null && lastPeerContactAt(state, serviceId) > lostAt + MIN_CUT_MS;
}

/** Says whether this VM was cut off from a service at some time since an instant. */
export function wasCutOffSince(state: ContactState, serviceId: string, since: number): boolean {
  const { cutEndedAt = 0 } = state.services.get(serviceId) ?? {};
  return cutEndedAt >= since || isCutOff(state, serviceId);
}

/** Lists the peers that can carry a request to a service, of those heard since an instant. */
export function listTransitPeers(
  { peers }: ContactState,
  serviceId: string,
  heardSince: number,
): TransitPeer[] {
  return [...peers]
    .filter(([, { heardAt }]) => heardAt >= heardSince)
    .filter(([, { takesTransits }]) => takesTransits)
    .filter(([, { lostServices }]) => !lostServices.has(serviceId))
    .map(([id, peer]) => ({ id, ...peer }));
}

/** Prefers the own zone, unless most of it is out of touch: the rest of it would be swamped. */
function preferZone(
  { peers }: ContactState,
  candidates: readonly TransitPeer[],
  zone: string,
): readonly TransitPeer[] {
  const near = candidates.filter((peer) => peer.zone === zone);
  const zonePeers = [...peers.values()].filter((peer) => peer.zone === zone).length;
  return near.length > 0 && 2 * near.length >= zonePeers ? near : candidates;
}

/**
 * Chooses the peer that carries a request, of those heard since an instant: the less loaded of two;
 * undefined when there is none.
 */
export function chooseTransitPeer(
  state: ContactState,
  choice: TransitChoice,
  heardSince: number,
): TransitPeer | undefined {
  const { configurationVersion, isPrompt, ownTransits, random, serviceId, tried, zone } = choice;
  const usable = listTransitPeers(state, serviceId, heardSince)
    .filter(({ id }) => !tried.has(id) && isPrompt(id))
    .filter((peer) => peer.configurationVersion >= configurationVersion);
  const candidates = preferZone(state, usable, zone);
  if (candidates.length === 0) return undefined;
  const drawn = [0, 1].map(() => candidates[randomInteger(random, candidates.length)]!);
  const [first, second] = drawn as [TransitPeer, TransitPeer];
  const load = ({ id, openTransits }: TransitPeer) => Math.max(openTransits, ownTransits(id));
  return load(first) <= load(second) ? first : second;
}
