import { isCutOff, lastPeerContactAt } from './queries.js';
import type {
  ContactState,
  PeerContact,
  ServiceContact,
  ServiceSilence,
  StartedCheck,
} from './state.js';

/** A failure to reach an endpoint says nothing of the links after this time. */
const FAILURE_TTL_MS = 1500;

/** Endpoints that fail before the links to their service are in doubt: one may have crashed. */
const FAILED_ENDPOINTS_TO_DOUBT = 2;

/** Endpoints that fail before their service counts as lost: a request may crash all but a few. */
export const FAILED_ENDPOINTS_TO_LOSE = 16;

/**
 * Time from the first unanswered check to a peer's contact that shows the links to be at fault. The
 * age of what a peer tells is known that closely.
 */
const MIN_CONTACT_AFTER_SILENCE_MS = 100;

/**
 * What a failure shows: nothing more, that the links are to be checked, that the endpoints have
 * fallen silent, or that there are no links.
 */
export type FailureSign = 'none' | 'doubtful' | 'silent' | 'lost';

/** An attempt, probe or check that failed at an endpoint. */
export interface FailureReport {
  readonly endpointId: string;
  /** Endpoints of the service that may fail; several of them, or all, must. */
  readonly endpointCount: number;
  /** Of an endpoint that opened a connection and did not answer; null of one that did not. */
  readonly unanswered: UnansweredCheck | null;
}

/** A check that was not answered. */
export interface UnansweredCheck extends StartedCheck {
  /** Time at which this VM last heard from the service; epoch milliseconds. */
  readonly heardAt: number;
}

/** What a VM that tells nothing for so long knows is of no use. */
const PEER_CONTACT_TTL_MS = 15_000;

function getOrCreateContact({ services }: ContactState, serviceId: string): ServiceContact {
  let contact = services.get(serviceId);
  if (contact === undefined) {
    contact = {
      failures: new Map(),
      unansweredSince: null,
      silence: null,
      contactAt: 0,
      lostAt: null,
      cutEndedAt: 0,
    };
    services.set(serviceId, contact);
  }
  return contact;
}

/** What a contact has ended; null for what there was not. */
export interface EndedLoss {
  /** Time since which the service was lost; epoch milliseconds. */
  readonly lostAt: number | null;
  readonly silence: ServiceSilence | null;
}

/** Records that an endpoint answered on a new connection; returns what this has ended. */
export function recordContact(state: ContactState, serviceId: string, now: number): EndedLoss {
  const contact = getOrCreateContact(state, serviceId);
  const { lostAt, silence } = contact;
  if (isCutOff(state, serviceId)) contact.cutEndedAt = now;
  contact.failures.clear();
  contact.unansweredSince = null;
  contact.silence = null;
  contact.contactAt = now;
  contact.lostAt = null;
  return { lostAt, silence };
}

function removeSilentFailures(contact: ServiceContact): void {
  contact.failures.forEach(({ kind }, id) => {
    if (kind === 'silent') contact.failures.delete(id);
  });
  contact.unansweredSince = null;
  contact.silence = null;
}

/** Ends a silence of a service that is not lost, when it was heard since; returns what it was. */
export function endSilence(
  { services }: ContactState,
  serviceId: string,
  heardAt: number,
): ServiceSilence | null {
  const contact = services.get(serviceId);
  const silence = contact?.silence ?? null;
  if (contact === undefined || silence === null) return null;
  if (contact.lostAt !== null || heardAt <= silence.since) return null;
  removeSilentFailures(contact);
  return silence;
}

function listUnreachable({ failures }: ServiceContact): string[] {
  return [...failures].filter(([, { kind }]) => kind === 'unreachable').map(([id]) => id);
}

/** Returns when a peer had last heard from a service, of what is certainly older than a check of it. */
function peerContactBefore(
  state: ContactState,
  serviceId: string,
  { peerContactAt, startedAt }: StartedCheck,
): number {
  const told = lastPeerContactAt(state, serviceId);
  return told <= startedAt ? Math.max(told, peerContactAt) : peerContactAt;
}

/**
 * Finds out what silent endpoints show. Their hosts have answered, so the links carry packets; only a
 * peer that had heard from the service meanwhile, before a check that was not answered began, shows
 * that it is not the endpoints.
 */
function classifySilence(
  contact: ServiceContact,
  heardAt: number,
  peerContactAt: number,
  now: number,
): FailureSign {
  const since = contact.unansweredSince!;
  const isNew = contact.silence === null;
  contact.silence ??= { heardAt, since, unreachable: new Set(listUnreachable(contact)) };
  if (peerContactAt < since + MIN_CONTACT_AFTER_SILENCE_MS) return isNew ? 'silent' : 'none';
  contact.lostAt = now;
  return 'lost';
}

function removeOldFailures({ failures }: ServiceContact, now: number): void {
  failures.forEach(({ at }, id) => {
    if (at < now - FAILURE_TTL_MS) failures.delete(id);
  });
}

/**
 * Records that an endpoint broke a connection. Full ones do so, too: it takes checks to find out
 * whether there are links.
 */
export function recordBrokenContact(
  state: ContactState,
  serviceId: string,
  endpointId: string,
  now: number,
): FailureSign {
  const contact = getOrCreateContact(state, serviceId);
  const { failures, lostAt } = contact;
  removeOldFailures(contact, now);
  if (!failures.has(endpointId)) failures.set(endpointId, { kind: 'broken', at: now });
  return lostAt === null && failures.size >= FAILED_ENDPOINTS_TO_DOUBT ? 'doubtful' : 'none';
}

/**
 * Records that an endpoint failed. Its service is lost from now on when several of its endpoints could
 * not be reached and none was since; it is silent when some of these opened connections.
 */
export function recordFailedContact(
  state: ContactState,
  serviceId: string,
  { endpointId, endpointCount, unanswered }: FailureReport,
  now: number,
): FailureSign {
  const contact = getOrCreateContact(state, serviceId);
  const { failures } = contact;
  removeOldFailures(contact, now);
  if (unanswered !== null) {
    if (unanswered.heardAt >= (contact.unansweredSince ?? 0)) removeSilentFailures(contact);
    contact.unansweredSince ??= unanswered.startedAt;
  }
  failures.set(endpointId, { kind: unanswered === null ? 'unreachable' : 'silent', at: now });
  if (unanswered === null) contact.silence?.unreachable.add(endpointId);
  if (contact.lostAt !== null) return 'none';
  const least = Math.min(FAILED_ENDPOINTS_TO_LOSE, endpointCount);
  if (listUnreachable(contact).length >= least) {
    contact.lostAt = now;
    contact.silence = null;
    return 'lost';
  }
  const isSilent = contact.silence !== null || failures.size >= least;
  if (isSilent && unanswered !== null) {
    const peerContactAt = peerContactBefore(state, serviceId, unanswered);
    return classifySilence(contact, unanswered.heardAt, peerContactAt, now);
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
