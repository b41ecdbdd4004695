import { build, type Histogram } from 'hdr-histogram-js';

const UNITS_PER_MS = 10;
const LONGEST_MS = 3_600_000;
const MEDIAN = 50;
const TAIL = 95;
const FAR_TAIL = 99;

/** Percentiles in milliseconds; null before the first value. */
export interface Percentiles {
  readonly p50: number | null;
  readonly p95: number | null;
  readonly p99: number | null;
}

/** Creates a histogram of times up to an hour, to two significant digits. */
export function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

/** Records a time in milliseconds. */
export function recordMs(histogram: Histogram, ms: number): void {
  const bounded = Math.min(Math.max(ms, 0), LONGEST_MS);
  histogram.recordValue(Math.round(bounded * UNITS_PER_MS));
}

/** Reads the percentiles of several histograms taken together. */
export function readPercentiles(histograms: readonly Histogram[]): Percentiles {
  const whole = createHistogram();
  histograms.forEach((histogram) => whole.add(histogram));
  if (whole.totalCount === 0) return { p50: null, p95: null, p99: null };
  const read = (percentile: number) => whole.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return { p50: read(MEDIAN), p95: read(TAIL), p99: read(FAR_TAIL) };
}
