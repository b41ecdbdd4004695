/** What may be repeated: any run, no run, or no run of a stream unless it is resumable. */
export type Repetition = 'idempotent' | 'non-idempotent' | 'streaming';

/** One of the services that share a route's requests, and its weight among them. */
export interface SplitShare {
  readonly serviceId: string;
  readonly weight: number;
}

/** A published route: where requests of a host and path prefix go, and what they may expect. */
export interface Route {
  readonly id: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly repetition: Repetition;
  /** A stream that broke may go on at another endpoint after its last event. */
  readonly isResumable: boolean;
  /** Needs no account key. */
  readonly isPublic: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most endpoints that may run one request. */
  readonly attempts: number;
  /** Longest time from arrival to the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that earns full worth; milliseconds. */
  readonly targetMs: number;
  /** Longest pause between events of a stream that is on time; null without one. */
  readonly gapTargetMs: number | null;
  readonly split: readonly SplitShare[];
}

/** What is published of the engines of a service. */
export interface EngineProfile {
  /** Requests that run at the same time. */
  readonly slots: number;
  /** Memory of one engine, in tokens. */
  readonly kvTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** A published service; `engine` is null for a plain one. */
export interface RoutedService {
  readonly id: string;
  readonly healthPath: string;
  /** Connections that one endpoint accepts from all VMs together. */
  readonly maxConnections: number;
  readonly engine: EngineProfile | null;
}

/** Bounds on what a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A client account that a key belongs to. */
export interface KeyedAccount {
  readonly id: string;
  /** Goes before the route's priority; null when the account has none. */
  readonly priority: number | null;
}

/** One published version of routes, services, limits and accounts. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
  /** Accounts by key; null when requests need no key. */
  readonly accounts: ReadonlyMap<string, KeyedAccount> | null;
}

/** The configuration in force, with its routes by host and prefix. */
export interface RoutingState {
  configuration: Configuration | null;
  routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;
}

/** Creates the state of a VM that knows no configuration yet. */
export function createRoutingState(): RoutingState {
  return { configuration: null, routes: new Map() };
}
