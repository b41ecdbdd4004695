/** Buckets are logarithmic; this is their number for each doubling of the length. */
const BUCKETS_PER_DOUBLING = 4;

/** Number of buckets, enough for answers of a million (2^20) tokens. */
export const BUCKET_COUNT = 20 * BUCKETS_PER_DOUBLING + 1;

/** Returns the index of the bucket that a length in tokens falls into. */
export function bucketOf(tokens: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

/** Returns the upper bound of the lengths in a bucket, in tokens. */
export function bucketUpperBound(bucket: number): number {
  return 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING);
}

/** Returns the geometric middle of a bucket, in tokens, at least 1. */
export function bucketMiddle(bucket: number): number {
  return Math.max(1, 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING));
}
