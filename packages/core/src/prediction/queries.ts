import { BUCKET_COUNT, bucketMiddle, bucketOf, bucketTop } from './buckets.js';
import type { LengthHistogram, PredictionState } from './state.js';

/** Below this many answers the caller's own maximum bounds the guess. */
const FEWEST_ANSWERS = 8;

/** Assumed length of an answer while nothing is known, in tokens. */
const UNKNOWN_LENGTH = 128;

/** Says whether enough answers of a kind were seen to predict the next. */
export function hasLearned(state: PredictionState, source: string): boolean {
  return (state.histograms.get(source)?.total ?? 0) >= FEWEST_ANSWERS;
}

/** Returns the length that a part of the answers from a bucket on do not go beyond. */
function topOfQuantile({ counts }: LengthHistogram, first: number, quantile: number): number {
  let longer = 0;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) longer += counts[bucket]!;
  let wanted = longer * quantile;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) {
    wanted -= counts[bucket]!;
    if (wanted <= 0) return bucketTop(bucket);
  }
  return Infinity;
}

/**
 * Predicts how many tokens are still to come, at a quantile of the answers that were
 * at least as long as what is already there.
 */
export function predictRemaining(
  state: PredictionState,
  source: string,
  produced: number,
  most: number,
  quantile: number,
): number {
  const histogram = state.histograms.get(source);
  const bound = Math.max(1, most - produced);
  if (histogram === undefined || histogram.total < FEWEST_ANSWERS) {
    return Math.min(bound, UNKNOWN_LENGTH);
  }
  if (produced > 0) {
    const top = topOfQuantile(histogram, bucketOf(produced), quantile);
    return Math.min(bound, Math.max(1, top - produced));
  }
  // Asked for each waiting request again and again, so it is worked out once an answer.
  let top = histogram.quantiles.get(quantile);
  if (top === undefined) {
    top = topOfQuantile(histogram, 0, quantile);
    histogram.quantiles.set(quantile, top);
  }
  return Math.min(bound, Math.max(1, top));
}

function meanOf({ counts, total }: LengthHistogram): number {
  let sum = 0;
  counts.forEach((count, bucket) => {
    sum += count * bucketMiddle(bucket);
  });
  return sum / total;
}

/** Predicts the mean length of a whole answer, in tokens; what a request will cost. */
export function predictMean(state: PredictionState, source: string, most: number): number {
  const histogram = state.histograms.get(source);
  if (histogram === undefined || histogram.total < FEWEST_ANSWERS) {
    return Math.min(most, UNKNOWN_LENGTH);
  }
  histogram.mean ??= meanOf(histogram);
  return Math.min(most, Math.max(1, histogram.mean));
}

/** Returns the chance that an answer of at least `produced` tokens has at most `more` still to come. */
export function chanceWithin(
  state: PredictionState,
  source: string,
  produced: number,
  more: number,
): number {
  const histogram = state.histograms.get(source);
  if (histogram === undefined || histogram.total < FEWEST_ANSWERS) return 1;
  const first = bucketOf(produced);
  const last = bucketOf(produced + more);
  let within = 0;
  let longer = 0;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) {
    longer += histogram.counts[bucket]!;
    if (bucket <= last) within += histogram.counts[bucket]!;
  }
  return longer === 0 ? 1 : within / longer;
}
