import { BUCKET_COUNT, bucketMiddle, bucketOf, bucketUpperBound } from './buckets.js';
import type { LengthHistogram, PredictionState } from './state.js';

/** Least recorded answers for a prediction; with fewer the default length is returned. */
const MIN_ANSWERS = 8;

/** Length predicted before enough answers are recorded, unless the caller's maximum is lower. */
const DEFAULT_LENGTH_TOKENS = 128;

/** Says whether enough answers of a length key are recorded to predict the next. */
export function hasEnoughAnswers(state: PredictionState, lengthKey: string): boolean {
  return (state.histograms.get(lengthKey)?.total ?? 0) >= MIN_ANSWERS;
}

/** Returns a quantile of the lengths from bucket `first` on, as the upper bound of its bucket. */
function quantileLength({ counts }: LengthHistogram, first: number, quantile: number): number {
  let matching = 0;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) matching += counts[bucket]!;
  let remaining = matching * quantile;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) {
    remaining -= counts[bucket]!;
    if (remaining <= 0) return bucketUpperBound(bucket);
  }
  return Infinity;
}

/**
 * Predicts how many tokens an answer has still to produce, at a quantile (0 to 1) of the recorded
 * answers that are at least as long as what it has produced; at most `maxTokens` in all.
 */
export function predictRemainingTokens(
  state: PredictionState,
  lengthKey: string,
  producedTokens: number,
  maxTokens: number,
  quantile: number,
): number {
  const histogram = state.histograms.get(lengthKey);
  const maxRemaining = Math.max(1, maxTokens - producedTokens);
  if (histogram === undefined || histogram.total < MIN_ANSWERS) {
    return Math.min(maxRemaining, DEFAULT_LENGTH_TOKENS);
  }
  if (producedTokens > 0) {
    const length = quantileLength(histogram, bucketOf(producedTokens), quantile);
    return Math.min(maxRemaining, Math.max(1, length - producedTokens));
  }
  // Computed once per recorded answer, because it is queried repeatedly for each waiting request.
  let length = histogram.quantiles.get(quantile);
  if (length === undefined) {
    length = quantileLength(histogram, 0, quantile);
    histogram.quantiles.set(quantile, length);
  }
  return Math.min(maxRemaining, Math.max(1, length));
}

function meanLength({ counts, total }: LengthHistogram): number {
  let sum = 0;
  counts.forEach((count, bucket) => {
    sum += count * bucketMiddle(bucket);
  });
  return sum / total;
}

/** Predicts the mean length of a whole answer, in tokens, up to the caller's maximum. */
export function predictMeanTokens(
  state: PredictionState,
  lengthKey: string,
  maxTokens: number,
): number {
  const histogram = state.histograms.get(lengthKey);
  if (histogram === undefined || histogram.total < MIN_ANSWERS) {
    return Math.min(maxTokens, DEFAULT_LENGTH_TOKENS);
  }
  histogram.mean ??= meanLength(histogram);
  return Math.min(maxTokens, Math.max(1, histogram.mean));
}

/**
 * Returns the probability that an answer of at least `producedTokens` ends within `moreTokens`; 1
 * before enough answers are recorded.
 */
export function probabilityOfEndWithin(
  state: PredictionState,
  lengthKey: string,
  producedTokens: number,
  moreTokens: number,
): number {
  const histogram = state.histograms.get(lengthKey);
  if (histogram === undefined || histogram.total < MIN_ANSWERS) return 1;
  const first = bucketOf(producedTokens);
  const last = bucketOf(producedTokens + moreTokens);
  let within = 0;
  let matching = 0;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) {
    matching += histogram.counts[bucket]!;
    if (bucket <= last) within += histogram.counts[bucket]!;
  }
  return matching === 0 ? 1 : within / matching;
}
