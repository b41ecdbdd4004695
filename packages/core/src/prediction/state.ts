/** Lengths of the answers of one class and pool, counted in logarithmic buckets. */
export interface LengthHistogram {
  /** Weight of the answers in each bucket. */
  counts: Float64Array;
  /** Sum of `counts`. */
  total: number;
  /** Cached lengths in tokens by quantile, cleared when an answer is recorded. */
  readonly quantiles: Map<number, number>;
  /** Cached mean length in tokens; null when not computed since the last recorded answer. */
  mean: number | null;
}

/** Histograms of answer lengths by length key (`class|pool`). */
export interface PredictionState {
  readonly histograms: Map<string, LengthHistogram>;
}

/** Creates the state without recorded answers. */
export function createPredictionState(): PredictionState {
  return { histograms: new Map() };
}
