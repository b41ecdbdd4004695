import { addToRate, readRate } from '../shared/index.js';
import type { Limit } from '../types/index.js';
import { passRate } from './queries.js';
import { createBucket, type Bucket, type LimitState } from './state.js';

const MS_PER_SECOND = 1000;

/** A limit that was not used for so long is forgotten: only active limits cost anything. */
const IDLE_MS = 30_000;

/** Least time between two calls for the same lease. */
const ASK_INTERVAL_MS = 700;

/** A little more is asked for than was offered, so that a rising demand finds room. */
const HEADROOM = 1.2;

// A bucket holds at least one request, else a VM with a small part could never use all of it.
function fillBucket(
  state: LimitState,
  limit: Limit,
  vms: number,
  request: number,
  now: number,
): Bucket {
  let bucket = state.buckets.get(limit.id);
  if (bucket === undefined) {
    const floor = (limit.tokensPerSecond * limit.floor) / Math.max(1, vms);
    bucket = createBucket(Math.max(request, floor * limit.burstSeconds), now);
    state.buckets.set(limit.id, bucket);
  }
  const rate = passRate(bucket, limit, vms, now);
  const elapsed = Math.max(0, now - bucket.filledAt);
  const filled = bucket.tokens + (rate * elapsed) / MS_PER_SECOND;
  bucket.tokens = Math.min(Math.max(request, rate * limit.burstSeconds), filled);
  bucket.filledAt = now;
  return bucket;
}

/**
 * Takes tokens from every limit that applies. Returns 0 when all had some left, else how
 * long until they have, in milliseconds; then nothing was taken.
 */
export function takeTokens(
  state: LimitState,
  limits: readonly Limit[],
  vms: number,
  tokens: number,
  now: number,
): number {
  let waitMs = 0;
  const buckets = limits.map((limit) => {
    const bucket = fillBucket(state, limit, vms, tokens, now);
    addToRate(bucket.offered, tokens, now);
    bucket.usedAt = now;
    if (bucket.tokens <= 0) {
      const rate = passRate(bucket, limit, vms, now);
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

/** Corrects what a request took once its true use is known; negative gives tokens back. */
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

/** Takes in a lease: it runs from the instant it was asked for, so it ends here first. */
export function recordLease(
  state: LimitState,
  limitId: string,
  tokensPerSecond: number,
  until: number,
): void {
  const bucket = state.buckets.get(limitId);
  if (bucket === undefined || until < bucket.leasedUntil) return;
  bucket.leased = tokensPerSecond;
  bucket.leasedUntil = until;
}

/** A part of a limit to ask the limit's coordinator for. */
export interface Wish {
  readonly limit: Limit;
  readonly tokensPerSecond: number;
}

/** Takes the leases to ask for now, and forgets limits that are no longer used. */
export function takeWishes(
  state: LimitState,
  limits: ReadonlyMap<string, Limit>,
  vms: number,
  now: number,
): Wish[] {
  const wishes: Wish[] = [];
  for (const [id, bucket] of state.buckets) {
    const limit = limits.get(id);
    if (limit === undefined || now - bucket.usedAt > IDLE_MS) {
      state.buckets.delete(id);
      continue;
    }
    if (now - bucket.askedAt < ASK_INTERVAL_MS) continue;
    const offered = readRate(bucket.offered, now) * MS_PER_SECOND * HEADROOM;
    const floor = (limit.tokensPerSecond * limit.floor) / Math.max(1, vms);
    if (offered <= floor) continue;
    bucket.askedAt = now;
    wishes.push({ limit, tokensPerSecond: offered - floor });
  }
  return wishes;
}
