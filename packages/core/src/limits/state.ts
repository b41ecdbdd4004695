import { createDecayingRate, type DecayingRate } from '../shared/index.js';

/** Time constant of the rate of requested tokens. */
const OFFERED_TIME_CONSTANT_MS = 3000;

/** Token bucket of one limit on this VM. */
export interface TokenBucket {
  /** Tokens available; 0 or less admits nothing. Requests beyond their estimate leave a debt. */
  tokens: number;
  /** Epoch milliseconds, as are the other times here. */
  refilledAt: number;
  /** Time of the latest request under the limit. */
  usedAt: number;
  /** Rate of tokens requested, admitted or not. */
  readonly offeredRate: DecayingRate;
  /** Part of the limit leased to this VM until `leasedUntil`. */
  leasedTokensPerSecond: number;
  leasedUntil: number;
  /** Time of the latest lease request. */
  askedAt: number;
}

/** Part of a limit granted to a VM. */
export interface LeaseGrant {
  readonly tokensPerSecond: number;
  /** Time at which the lease ends; epoch milliseconds. */
  readonly until: number;
}

/** A VM that leases part of a limit, as the limit's coordinator knows it. */
export interface LeaseHolder {
  requestedTokensPerSecond: number;
  /** Grants not yet expired, oldest first: any may be in use, since replies can be lost. */
  grants: LeaseGrant[];
}

/** A limit whose leases this VM grants. */
export interface CoordinatedLimit {
  /** Until this time leases of an earlier coordinator may be in use; epoch milliseconds. */
  noGrantsBefore: number;
  /** By VM id. */
  readonly holders: Map<string, LeaseHolder>;
}

/** State of the limits whose leases this VM grants. */
export interface CoordinatorState {
  /** Revision of the VM list that names the coordinators; -1 before the first. */
  listRevision: number;
  /** Limits new to this VM get no grants until `LEASE_MS` after this time; epoch milliseconds. */
  grantsPausedAt: number;
  /** By limit id. */
  readonly limits: Map<string, CoordinatedLimit>;
}

/** Recently used limits on this VM, and the limits that it coordinates. */
export interface LimitState {
  /** Time of the last check for leases to renew; epoch milliseconds. */
  leasesCheckedAt: number;
  /** By limit id. */
  readonly buckets: Map<string, TokenBucket>;
  readonly coordinator: CoordinatorState;
}

/** Creates the state of a VM that has used no limit. */
export function createLimitState(): LimitState {
  return {
    leasesCheckedAt: 0,
    buckets: new Map(),
    coordinator: { listRevision: -1, grantsPausedAt: 0, limits: new Map() },
  };
}

/** Creates the bucket of a limit on its first use. */
export function createTokenBucket(tokens: number, now: number): TokenBucket {
  return {
    tokens,
    refilledAt: now,
    usedAt: now,
    offeredRate: createDecayingRate(OFFERED_TIME_CONSTANT_MS),
    leasedTokensPerSecond: 0,
    leasedUntil: 0,
    askedAt: 0,
  };
}
