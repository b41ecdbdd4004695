import { addToRate, ratePerMs } from '../shared/index.js';
import type { Limit } from '../types/index.js';
import { computeAllowedRate } from './queries.js';
import { createTokenBucket, type TokenBucket, type LimitState } from './state.js';

const MS_PER_SECOND = 1000;

/** A bucket unused for this long is removed, so that only active limits cost anything. */
const BUCKET_IDLE_MS = 30_000;

/** Shortest time between two requests for the same lease. */
const LEASE_REQUEST_INTERVAL_MS = 700;

/** Factor on the demand in a lease request, which leaves headroom for rising demand. */
const DEMAND_HEADROOM = 1.2;

// A bucket holds at least one request; otherwise a VM with a small part could not use all of it.
function refillBucket(
  state: LimitState,
  limit: Limit,
  vmCount: number,
  requestTokens: number,
  now: number,
): TokenBucket {
  let bucket = state.buckets.get(limit.id);
  if (bucket === undefined) {
    const floorRate = (limit.tokensPerSecond * limit.floor) / Math.max(1, vmCount);
    bucket = createTokenBucket(Math.max(requestTokens, floorRate * limit.burstSeconds), now);
    state.buckets.set(limit.id, bucket);
  }
  const rate = computeAllowedRate(bucket, limit, vmCount, now);
  const elapsedMs = Math.max(0, now - bucket.refilledAt);
  const filled = bucket.tokens + (rate * elapsedMs) / MS_PER_SECOND;
  bucket.tokens = Math.min(Math.max(requestTokens, rate * limit.burstSeconds), filled);
  bucket.refilledAt = now;
  return bucket;
}

/**
 * Takes tokens from every limit that applies. Returns 0 when all had tokens left; otherwise takes
 * nothing and returns the milliseconds until they will.
 */
export function takeTokens(
  state: LimitState,
  limits: readonly Limit[],
  vmCount: number,
  tokens: number,
  now: number,
): number {
  let waitMs = 0;
  const buckets = limits.map((limit) => {
    const bucket = refillBucket(state, limit, vmCount, tokens, now);
    addToRate(bucket.offeredRate, tokens, now);
    bucket.usedAt = now;
    if (bucket.tokens <= 0) {
      const rate = computeAllowedRate(bucket, limit, vmCount, now);
      waitMs = Math.max(waitMs, 1, (-bucket.tokens * MS_PER_SECOND) / rate);
    }
    return bucket;
  });
  if (waitMs > 0) return waitMs;
  buckets.forEach((bucket) => {
    bucket.tokens -= tokens;
  });
  return 0;
}

/**
 * Charges `difference`, the actual less the estimated tokens of a request, to its limits; a negative
 * one returns tokens.
 */
export function settleTokens(
  state: LimitState,
  limits: readonly Limit[],
  difference: number,
): void {
  limits.forEach(({ id }) => {
    const bucket = state.buckets.get(id);
    if (bucket !== undefined) bucket.tokens -= difference;
  });
}

/**
 * Records a granted lease. It runs from the time of the request, so it ends here before it ends at
 * the coordinator. `until` is epoch milliseconds.
 */
export function recordLease(
  state: LimitState,
  limitId: string,
  tokensPerSecond: number,
  until: number,
): void {
  const bucket = state.buckets.get(limitId);
  if (bucket === undefined || until < bucket.leasedUntil) return;
  bucket.leasedTokensPerSecond = tokensPerSecond;
  bucket.leasedUntil = until;
}

/** Part of a limit to request from the limit's coordinator. */
export interface LeaseRequest {
  readonly limit: Limit;
  readonly tokensPerSecond: number;
}

/** Returns the leases to request now and marks them as requested; removes unused buckets. */
export function takeDueLeaseRequests(
  state: LimitState,
  limits: ReadonlyMap<string, Limit>,
  vmCount: number,
  now: number,
): LeaseRequest[] {
  const requests: LeaseRequest[] = [];
  for (const [id, bucket] of state.buckets) {
    const limit = limits.get(id);
    if (limit === undefined || now - bucket.usedAt > BUCKET_IDLE_MS) {
      state.buckets.delete(id);
      continue;
    }
    if (now - bucket.askedAt < LEASE_REQUEST_INTERVAL_MS) continue;
    const requested = ratePerMs(bucket.offeredRate, now) * MS_PER_SECOND * DEMAND_HEADROOM;
    const floorRate = (limit.tokensPerSecond * limit.floor) / Math.max(1, vmCount);
    if (requested <= floorRate) continue;
    bucket.askedAt = now;
    requests.push({ limit, tokensPerSecond: requested - floorRate });
  }
  return requests;
}
