import { isCutOff } from './queries.js';
import type { ContactState, PeerContact, ServiceContact } from './state.js';

/** A failure to reach an endpoint says nothing of the links after this time. */
const FAILURE_TTL_MS = 1500;

/** Endpoints that fail before the links to their service are in doubt: one may have crashed. */
const FAILED_ENDPOINTS_TO_DOUBT = 2;

/** Endpoints that fail before their service counts as lost: a request may crash all but a few. */
export const FAILED_ENDPOINTS_TO_LOSE = 16;

/** What a failure shows: nothing more, that the links are to be checked, or that there are none. */
export type FailureSign = 'none' | 'doubtful' | 'lost';

/** What a VM that tells nothing for so long knows is of no use. */
const PEER_CONTACT_TTL_MS = 15_000;

function getOrCreateContact({ services }: ContactState, serviceId: string): ServiceContact {
  let contact = services.get(serviceId);
  if (contact === undefined) {
    contact = { failures: new Map(), contactAt: 0, lostAt: null, cutEndedAt: 0 };
    services.set(serviceId, contact);
  }
  return contact;
}

/**
 * Records that an endpoint answered on a new connection; returns the time since which the service
 * was lost, null when it was not.
 */
export function recordContact(state: ContactState, serviceId: string, now: number): number | null {
  const contact = getOrCreateContact(state, serviceId);
  const { lostAt } = contact;
  if (isCutOff(state, serviceId)) contact.cutEndedAt = now;
  contact.failures.clear();
  contact.contactAt = now;
  contact.lostAt = null;
  return lostAt;
}

/**
 * Records that an endpoint could not be reached. Its service is lost from now on when several of its
 * `endpointCount` endpoints have failed and none was reached since.
 */
export function recordFailedContact(
  state: ContactState,
  serviceId: string,
  endpointId: string,
  endpointCount: number,
  now: number,
): FailureSign {
  const contact = getOrCreateContact(state, serviceId);
  const { failures } = contact;
  failures.forEach((at, id) => {
    if (at < now - FAILURE_TTL_MS) failures.delete(id);
  });
  failures.set(endpointId, now);
  if (contact.lostAt !== null) return 'none';
  if (failures.size >= Math.min(FAILED_ENDPOINTS_TO_LOSE, endpointCount)) {
    contact.lostAt = now;
    return 'lost';
  }
  return failures.size >= FAILED_ENDPOINTS_TO_DOUBT ? 'doubtful' : 'none';
}

/** Replaces what a peer tells of its links. */
export function recordPeerContact(state: ContactState, peerId: string, contact: PeerContact): void {
  state.peers.set(peerId, contact);
}

/** Removes peers that are silent, and services that `isKnown` does not know. */
export function removeStaleContacts(
  state: ContactState,
  isKnown: (serviceId: string) => boolean,
  now: number,
): void {
  state.peers.forEach(({ heardAt }, id) => {
    if (heardAt < now - PEER_CONTACT_TTL_MS) state.peers.delete(id);
  });
  state.services.forEach((_, id) => {
    if (!isKnown(id)) state.services.delete(id);
  });
}
