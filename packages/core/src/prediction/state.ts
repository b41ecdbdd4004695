/** Lengths seen for one class and model, counted in buckets that double in width. */
export interface LengthHistogram {
  counts: Float64Array;
  total: number;
  /** Lengths of whole answers by quantile, kept until the next answer is recorded. */
  readonly quantiles: Map<number, number>;
  /** Mean length, kept as long; null when it is not worked out. */
  mean: number | null;
}

/** What is known of output lengths, by `class|pool`. */
export interface PredictionState {
  readonly histograms: Map<string, LengthHistogram>;
}

/** Creates the state of a VM that has seen no answer yet. */
export function createPredictionState(): PredictionState {
  return { histograms: new Map() };
}
