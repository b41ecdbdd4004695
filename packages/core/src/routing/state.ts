/** Whether requests may be run again: always, never, or only when their streams are resumable. */
export type Repetition = 'idempotent' | 'non-idempotent' | 'streaming';

/** A service that gets part of a route's requests, in proportion to its weight. */
export interface WeightedService {
  readonly serviceId: string;
  readonly weight: number;
}

/** A published route: services, retry rules and targets for requests of a host and path prefix. */
export interface Route {
  readonly id: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly repetition: Repetition;
  /** Whether another endpoint may continue a broken stream after its last event. */
  readonly isResumable: boolean;
  /** Whether requests need no account key. */
  readonly isPublic: boolean;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Maximum number of endpoints tried for one request. */
  readonly attempts: number;
  /** Longest time from arrival to the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency target of the answer, or of a stream's first event, in milliseconds. */
  readonly targetMs: number;
  /**
   * Target for the longest gap between events of a stream, in milliseconds; null if it has none.
   */
  readonly gapTargetMs: number | null;
  /** Services that share the route's requests by weight. */
  readonly split: readonly WeightedService[];
}

/** Published properties of the engines of a service. */
export interface EngineProfile {
  /** Maximum number of requests that one engine runs at the same time. */
  readonly slots: number;
  /** Size of the key-value cache of one engine, in tokens. */
  readonly kvTokens: number;
  /** Number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** A published service; `engine` is null for a plain one. */
export interface RoutedService {
  readonly id: string;
  readonly healthPath: string;
  /** Maximum number of connections to one endpoint from all VMs together. */
  readonly maxConnections: number;
  readonly engine: EngineProfile | null;
}

/** Limits on the size of a caller's request and on the time to receive it. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A client account, as the configuration lists it by key. */
export interface ClientAccount {
  readonly id: string;
  /** Overrides the route's priority; null when the account has none. */
  readonly priority: number | null;
}

/** One published version of routes, services, limits and accounts. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
  /** Accounts by key; null when requests need no key. */
  readonly accounts: ReadonlyMap<string, ClientAccount> | null;
}

/** The active configuration, with its routes indexed by lower-case host and prefix. */
export interface RoutingState {
  configuration: Configuration | null;
  /** Era of the store in which the configuration is known to be in force; null when it named none. */
  era: number | null;
  routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  /** Ranks that requests to engines can have, most urgent first. */
  engineRanks: readonly number[];
}

/** Creates the routing state of a VM that knows no configuration yet. */
export function createRoutingState(): RoutingState {
  return { configuration: null, era: null, routes: new Map(), engineRanks: [] };
}
