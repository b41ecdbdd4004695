/** An endpoint that registered itself with the platform. */
export interface RegisteredEndpoint {
  readonly id: string;
  readonly serviceId: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly zone: string;
  /** Maximum number of requests that it runs at the same time. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Start instant, epoch milliseconds: differs after a restart under the same id. */
  readonly startedAt: number | null;
  /** Version of its software; null when it registers none. */
  readonly version: string | null;
}

/**
 * What told this VM that an endpoint leaves or has left: its own answers, a peer that had one, or the
 * store, which dropped its entry.
 */
export type DepartureSource = 'answer' | 'peer' | 'store';

/** One lifetime of an endpoint: a restart under the same id begins another. */
export type Lifetime = Pick<RegisteredEndpoint, 'id' | 'startedAt'>;

/** What is known of a lifetime that ends or has ended. */
export interface Departure extends Lifetime {
  readonly source: DepartureSource;
  /** Era of the store in which this VM was told; null when it names none. */
  readonly era: number | null;
  /** Time at which this VM was last told; epoch milliseconds. */
  readonly toldAt: number;
}

/** The registered endpoints, and the revision up to which the platform's store was read. */
export interface DirectoryState {
  /** Endpoints by id, those with lapsed entries included. */
  readonly endpoints: Map<string, RegisteredEndpoint>;
  /**
   * Endpoints whose entries lapsed: the store removed them in or just after its outage, in which
   * endpoints that still run cannot renew them. By id, the instant at which each is removed here;
   * epoch milliseconds.
   */
  readonly lapsed: Map<string, number>;
  /**
   * Departures by `lifetimeKey`. Entries may say otherwise: late, or since the store has come back from an
   * older copy.
   */
  readonly departures: Map<string, Departure>;
  /** Revision up to which changes were read; -1 before the first. */
  revision: number;
  /** Era of the store that the revision belongs to; null when the store has named none. */
  era: number | null;
  /** True until the entries of a new era have been read. */
  isEraUnread: boolean;
  /** True while the store does not answer. */
  isStoreLost: boolean;
  /** Until this instant a removed entry counts as lapsed; epoch milliseconds. */
  graceEndsAt: number;
}

/** Creates the directory state of a VM that has read no entry yet. */
export function createDirectoryState(): DirectoryState {
  return {
    endpoints: new Map(),
    lapsed: new Map(),
    departures: new Map(),
    revision: -1,
    era: null,
    isEraUnread: false,
    isStoreLost: false,
    graceEndsAt: 0,
  };
}
