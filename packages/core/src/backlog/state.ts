/** A request that has been read and not begun. */
export interface BacklogEntry {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Null without client accounts. */
  readonly accountId: string | null;
  /** Size of its body. */
  readonly bytes: number;
  /** Latest time to begin it; epoch milliseconds. */
  readonly beginBy: number;
  /** True when it was read too late for its latency target: others of its priority begin before. */
  readonly isLate: boolean;
  /** Begins it. */
  readonly begin: () => void;
  /** Refuses it: it cannot be begun in time. */
  readonly refuse: () => void;
}

/** Requests of one account with one rank, the one that must begin first ahead. */
export interface AccountBacklog {
  readonly entries: BacklogEntry[];
  /** Grows with each request that begins; the account with the least is next. */
  virtualTime: number;
}

/** Requests of one rank. */
export interface RankBacklog {
  /** By account id, only accounts with requests; requests without an account are under null. */
  readonly accounts: Map<string | null, AccountBacklog>;
  /** Virtual time of the account that was next last, at which another starts. */
  virtualTime: number;
}

/** Requests that have been read and not begun. */
export interface Backlog {
  /** By rank, which orders priorities and, in one, late requests last; only those with requests. */
  readonly ranks: Map<number, RankBacklog>;
  size: number;
  /** Sum of the sizes of bodies. */
  bytes: number;
  /** Mean time between two requests that begin while others wait, in milliseconds. */
  meanIntervalMs: number;
  /** Time of the latest begin, or of the first entry since the backlog was empty. */
  steppedAt: number;
}

/** Mean interval until some have been begun: the processor time of one request. */
export const INITIAL_INTERVAL_MS = 2;

/** Creates an empty backlog. */
export function createBacklog(): Backlog {
  return {
    ranks: new Map(),
    size: 0,
    bytes: 0,
    meanIntervalMs: INITIAL_INTERVAL_MS,
    steppedAt: 0,
  };
}
