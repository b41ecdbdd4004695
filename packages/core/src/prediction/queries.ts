import { BUCKET_COUNT, bucketMiddle, bucketOf, bucketTop } from './buckets.js';
import type { PredictionState } from './state.js';

/** Below this many answers the caller's own maximum bounds the guess. */
const FEWEST_ANSWERS = 8;

/** Assumed length of an answer while nothing is known, in tokens. */
const UNKNOWN_LENGTH = 128;

/** Says whether enough answers of a kind were seen to predict the next. */
export function hasLearned(state: PredictionState, source: string): boolean {
  return (state.histograms.get(source)?.total ?? 0) >= FEWEST_ANSWERS;
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
  const first = produced > 0 ? bucketOf(produced) : 0;
  let longer = 0;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) longer += histogram.counts[bucket]!;
  let wanted = longer * quantile;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) {
    wanted -= histogram.counts[bucket]!;
    if (wanted <= 0) return Math.min(bound, Math.max(1, bucketTop(bucket) - produced));
  }
  return bound;
}

/** Predicts the mean length of a whole answer, in tokens; what a request will cost. */
export function predictMean(state: PredictionState, source: string, most: number): number {
  const histogram = state.histograms.get(source);
  if (histogram === undefined || histogram.total < FEWEST_ANSWERS) {
    return Math.min(most, UNKNOWN_LENGTH);
  }
  let sum = 0;
  histogram.counts.forEach((count, bucket) => {
    sum += count * bucketMiddle(bucket);
  });
  return Math.min(most, Math.max(1, sum / histogram.total));
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
