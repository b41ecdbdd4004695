import { createRate, type Rate } from '../shared/index.js';

const OFFERED_TIME_CONSTANT_MS = 3000;

/** Tokens that one limit lets this VM pass now. */
export interface Bucket {
  /** At most 0: nothing passes; a debt is what requests took beyond their guess. */
  tokens: number;
  filledAt: number;
  usedAt: number;
  /** Tokens asked for, let through or not. */
  readonly offered: Rate;
  /** Leased part of the limit, in tokens per second, until `leasedUntil`. */
  leased: number;
  leasedUntil: number;
  askedAt: number;
}

/** A part of a limit that was granted to a VM, until an instant. */
export interface LeasedPart {
  readonly tokensPerSecond: number;
  readonly until: number;
}

/** What a coordinator knows of one VM that asks for a limit. */
export interface Asker {
  wanted: number;
  /** Grants that may still be in use, oldest first: a reply may have been lost. */
  grants: LeasedPart[];
}

/** One limit that this VM coordinates. */
export interface Coordinated {
  /** Before this instant leases of an earlier coordinator may be in use. */
  grantsFrom: number;
  readonly askers: Map<string, Asker>;
}

/** What this VM keeps of the limits that it coordinates, by limit. */
export interface Coordination {
  listRevision: number;
  /** Until a lease has passed since this instant, nothing new is granted. */
  adoptedAt: number;
  readonly limits: Map<string, Coordinated>;
}

/** Buckets of the limits that were used lately, by limit id, and what this VM coordinates. */
export interface LimitState {
  renewedAt: number;
  readonly buckets: Map<string, Bucket>;
  readonly coordination: Coordination;
}

/** Creates the state in which no limit was used. */
export function createLimitState(): LimitState {
  return {
    renewedAt: 0,
    buckets: new Map(),
    coordination: { listRevision: -1, adoptedAt: 0, limits: new Map() },
  };
}

/** Creates the bucket of a limit that is used for the first time. */
export function createBucket(tokens: number, now: number): Bucket {
  return {
    tokens,
    filledAt: now,
    usedAt: now,
    offered: createRate(OFFERED_TIME_CONSTANT_MS),
    leased: 0,
    leasedUntil: 0,
    askedAt: 0,
  };
}
