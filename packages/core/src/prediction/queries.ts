import { BUCKET_COUNT, bucketMiddle, bucketOf, bucketUpperBound } from './buckets.js';
import type { LengthHistogram, PredictionState } from './state.js';

/** With fewer recorded answers the default length is predicted, up to the caller's maximum. */
const MIN_ANSWERS = 8;

/** Length predicted for an answer before enough answers are recorded. */
const DEFAULT_LENGTH_TOKENS = 128;

/** Says whether enough answers of a source were recorded to predict the next. */
export function hasEnoughAnswers(state: PredictionState, source: string): boolean {
  return (state.histograms.get(source)?.total ?? 0) >= MIN_ANSWERS;
}

/** Returns the quantile of the lengths from bucket `first` on: the upper bound of its bucket. */
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
 * Predicts how many tokens an answer has still to produce, at a quantile of the recorded answers
 * that are at least as long as what it has produced.
 */
export function predictRemainingTokens(
  state: PredictionState,
  source: string,
  produced: number,
  maxTokens: number,
  quantile: number,
): number {
  const histogram = state.histograms.get(source);
  const bound = Math.max(1, maxTokens - produced);
  if (histogram === undefined || histogram.total < MIN_ANSWERS) {
    return Math.min(bound, DEFAULT_LENGTH_TOKENS);
  }
  if (produced > 0) {
    const length = quantileLength(histogram, bucketOf(produced), quantile);
    return Math.min(bound, Math.max(1, length - produced));
  }
  // Computed once per recorded answer, because it is queried repeatedly for each waiting request.
  let length = histogram.quantiles.get(quantile);
  if (length === undefined) {
    length = quantileLength(histogram, 0, quantile);
    histogram.quantiles.set(quantile, length);
  }
  return Math.min(bound, Math.max(1, length));
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
  source: string,
  maxTokens: number,
): number {
  const histogram = state.histograms.get(source);
  if (histogram === undefined || histogram.total < MIN_ANSWERS) {
    return Math.min(maxTokens, DEFAULT_LENGTH_TOKENS);
  }
  histogram.mean ??= meanLength(histogram);
  return Math.min(maxTokens, Math.max(1, histogram.mean));
}

/**
 * Returns the probability that an answer of at least `produced` tokens has at most `more` still to
 * come; 1 before enough answers are recorded.
 */
export function probabilityWithin(
  state: PredictionState,
  source: string,
  produced: number,
  more: number,
): number {
  const histogram = state.histograms.get(source);
  if (histogram === undefined || histogram.total < MIN_ANSWERS) return 1;
  const first = bucketOf(produced);
  const last = bucketOf(produced + more);
  let within = 0;
  let matching = 0;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) {
    matching += histogram.counts[bucket]!;
    if (bucket <= last) within += histogram.counts[bucket]!;
  }
  return matching === 0 ? 1 : within / matching;
}
