const BUCKETS_PER_DOUBLING = 4;

/** Buckets enough for answers of a million tokens. */
export const BUCKET_COUNT = 20 * BUCKETS_PER_DOUBLING + 1;

/** Returns the bucket that a length falls into. */
export function bucketOf(tokens: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

/** Returns the largest length in a bucket, in tokens. */
export function bucketTop(bucket: number): number {
  return 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING);
}

/** Returns the middle of a bucket, in tokens; the narrow first buckets hold one length. */
export function bucketMiddle(bucket: number): number {
  return Math.max(1, 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING));
}
