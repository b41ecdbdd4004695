import { build, type Histogram } from 'hdr-histogram-js';

/** Histogram units in a millisecond: histograms hold integers, in tenths of a millisecond. */
const UNITS_PER_MS = 10;
const MAX_LATENCY_MS = 3_600_000;
const MEDIAN_PERCENTILE = 50;
const TAIL_PERCENTILE = 95;
const FAR_TAIL_PERCENTILE = 99;

/** Percentiles in milliseconds; null without values. */
export interface Percentiles {
  readonly p50: number | null;
  readonly p95: number | null;
  readonly p99: number | null;
}

/** Creates a histogram of latencies up to one hour, with two significant digits. */
export function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

/** Records a latency in milliseconds, clamped to the histogram's range. */
export function recordMs(histogram: Histogram, ms: number): void {
  const bounded = Math.min(Math.max(ms, 0), MAX_LATENCY_MS);
  histogram.recordValue(Math.round(bounded * UNITS_PER_MS));
}

/** Reads the percentiles of several histograms merged into one. */
export function readPercentiles(histograms: readonly Histogram[]): Percentiles {
  const merged = createHistogram();
  histograms.forEach((histogram) => merged.add(histogram));
  if (merged.totalCount === 0) return { p50: null, p95: null, p99: null };
  const read = (percentile: number) => merged.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return {
    p50: read(MEDIAN_PERCENTILE),
    p95: read(TAIL_PERCENTILE),
    p99: read(FAR_TAIL_PERCENTILE),
  };
}
