import { BUCKET_COUNT, bucketOf } from './buckets.js';
import type { PredictionState } from './state.js';

/** Above this weight old lengths are halved, so that the prediction follows the load. */
const LARGEST_WEIGHT = 2000;

/** Records the length of a finished answer, in tokens. */
export function recordLength(state: PredictionState, source: string, tokens: number): void {
  let histogram = state.histograms.get(source);
  if (histogram === undefined) {
    histogram = {
      counts: new Float64Array(BUCKET_COUNT),
      total: 0,
      quantiles: new Map(),
      mean: null,
    };
    state.histograms.set(source, histogram);
  }
  if (histogram.total >= LARGEST_WEIGHT) {
    histogram.counts = histogram.counts.map((count) => count / 2);
    histogram.total /= 2;
  }
  histogram.quantiles.clear();
  histogram.mean = null;
  const bucket = bucketOf(tokens);
  histogram.counts[bucket]! += 1;
  histogram.total += 1;
}
