import { BUCKET_COUNT, bucketOf } from './buckets.js';
import type { PredictionState } from './state.js';

/** Total weight at which all counts are halved, so that predictions follow changing traffic. */
const MAX_HISTOGRAM_WEIGHT = 2000;

/** Records the length of a finished answer, in tokens, for its length key (`class|pool`). */
export function recordAnswerLength(
  state: PredictionState,
  lengthKey: string,
  tokens: number,
): void {
  let histogram = state.histograms.get(lengthKey);
  if (histogram === undefined) {
    histogram = {
      counts: new Float64Array(BUCKET_COUNT),
      total: 0,
      quantiles: new Map(),
      mean: null,
    };
    state.histograms.set(lengthKey, histogram);
  }
  if (histogram.total >= MAX_HISTOGRAM_WEIGHT) {
    histogram.counts = histogram.counts.map((count) => count / 2);
    histogram.total /= 2;
  }
  histogram.quantiles.clear();
  histogram.mean = null;
  const bucket = bucketOf(tokens);
  histogram.counts[bucket]! += 1;
  histogram.total += 1;
}
