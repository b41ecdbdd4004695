import type { Limit } from '../types/index.js';
import type { Bucket, LimitState } from './state.js';

const MS_PER_SECOND = 1000;

function fillBucket(state: LimitState, limit: Limit, vms: number, now: number): Bucket {
  const rate = limit.tokensPerSecond / Math.max(1, vms);
  const most = rate * limit.burstSeconds;
  const bucket = state.buckets.get(limit.id) ?? { tokens: most, filledAt: now };
  const elapsed = Math.max(0, now - bucket.filledAt);
  bucket.tokens = Math.min(most, bucket.tokens + (rate * elapsed) / MS_PER_SECOND);
  bucket.filledAt = now;
  state.buckets.set(limit.id, bucket);
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
  const buckets = limits.map((limit) => fillBucket(state, limit, vms, now));
  const waits = buckets.map((bucket, index) =>
    bucket.tokens > 0 ? 0 : (-bucket.tokens * MS_PER_SECOND * vms) / limits[index]!.tokensPerSecond,
  );
  if (buckets.some((bucket) => bucket.tokens <= 0)) return Math.max(1, ...waits);
  buckets.forEach((bucket) => {
    bucket.tokens -= tokens;
  });
  return 0;
}
