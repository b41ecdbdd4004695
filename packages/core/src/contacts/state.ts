/**
 * How an endpoint failed: it could not be reached, its host opened a connection and nothing answered
 * there, or an open connection broke.
 */
export type ContactFailure = 'unreachable' | 'silent' | 'broken';

/** A failure of an endpoint, and its time in epoch milliseconds. */
export interface FailedContact {
  readonly kind: ContactFailure;
  readonly at: number;
}

/** What is known as a check starts; times are in epoch milliseconds. */
export interface StartedCheck {
  readonly startedAt: number;
  /** Time at which a peer had last heard from the service. */
  readonly peerContactAt: number;
}

/** A silence of a service's endpoints to this VM. */
export interface ServiceSilence {
  /** Time at which the service was last heard before; epoch milliseconds. */
  readonly heardAt: number;
  /** Time since which checks were unanswered; epoch milliseconds. */
  readonly since: number;
  /** Ids of endpoints that could not be reached meanwhile. */
  readonly unreachable: Set<string>;
}

/** What one VM knows of its links to the endpoints of a service. */
export interface ServiceContact {
  /** Latest failure of each endpoint since the latest contact, by id. */
  readonly failures: Map<string, FailedContact>;
  /** Start of the earliest unanswered check since the service was heard; null without any. */
  unansweredSince: number | null;
  /** Null unless several endpoints are silent; of a service that was lost by it, too. */
  silence: ServiceSilence | null;
  /** Time at which an endpoint last answered on a new connection; epoch milliseconds. */
  contactAt: number;
  /** Time since which several endpoints have failed and none was reached; null while in touch. */
  lostAt: number | null;
  /** End of the latest loss in which peers were in touch; epoch milliseconds, 0 without any. */
  cutEndedAt: number;
}

/** What a peer tells of its links and of the requests that it carries for other VMs. */
export interface PeerContact {
  /** Control address, IP:PORT. */
  readonly address: string;
  readonly zone: string;
  /** Epoch milliseconds of its message. */
  readonly heardAt: number;
  /** False while it carries no requests for others. */
  readonly takesTransits: boolean;
  /** Requests that it carries for others now. */
  readonly openTransits: number;
  readonly configurationVersion: number;
  /** Services whose endpoints it cannot reach. */
  readonly lostServices: ReadonlySet<string>;
  /** By service id, the time at which it last heard from an endpoint; epoch milliseconds. */
  readonly contactAt: ReadonlyMap<string, number>;
}

/** The links of this VM to endpoints, and what its peers tell of theirs. */
export interface ContactState {
  /** By service id. */
  readonly services: Map<string, ServiceContact>;
  /** By VM id. */
  readonly peers: Map<string, PeerContact>;
}

/** Creates the state of a VM that has met no failure. */
export function createContactState(): ContactState {
  return { services: new Map(), peers: new Map() };
}
