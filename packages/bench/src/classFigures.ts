import type { Class } from '@filbertlatch/core';
import { build, type Histogram } from 'hdr-histogram-js';

import type { Sample } from './sendRequest.js';

/** Longer times are recorded as this one. */
const MAX_RECORDED_MS = 120_000;

/** Figures of the requests of one class. */
export interface ClassFigures {
  readonly class: string;
  readonly tier: string;
  /** Latency targets of the first token and the whole answer, as `FIRST/WHOLE`. */
  readonly targetMs: string;
  readonly requests: number;
  /** Fraction of all requests that met every latency target, 0 to 1. */
  readonly attainment: number;
  /** Fraction of all requests that got a whole answer within the window, 0 to 1. */
  readonly goodput: number;
  /** Requests refused with the verdict `not-run`. */
  readonly shed: number;
  /** Other requests without a whole answer. */
  readonly failed: number;
  /** Time to the first token of a stream or to the end of another answer; null without whole answers. */
  readonly firstMs: { readonly p50: number; readonly p95: number; readonly p99: number } | null;
}

/** Returns whether an answer was whole and within the window of its class. */
export function isInWindow(sample: Sample, row: Class): boolean {
  return sample.whole && sample.wholeMs <= row.target.wholeMs;
}

/** Returns whether an answer met every target of its class that applies to it. */
export function meetsTarget(sample: Sample, row: Class): boolean {
  if (!isInWindow(sample, row)) return false;
  // An answer that is not streamed has no first token: only the window applies.
  if (!sample.streamed || sample.firstTokenMs === null) return true;
  const { firstTokenMs, betweenTokensMs } = row.target;
  const later = sample.tokens - 1;
  const gap = later > 0 ? (sample.wholeMs - sample.firstTokenMs) / later : 0;
  return sample.firstTokenMs <= firstTokenMs && gap <= betweenTokensMs;
}

function fractionOf(count: number, all: number): number {
  return all === 0 ? 1 : count / all;
}

/** Creates a histogram of times, rounded to milliseconds. */
export function createTimeHistogram(values: readonly number[]): Histogram {
  const times = build({
    highestTrackableValue: MAX_RECORDED_MS,
    numberOfSignificantValueDigits: 3,
  });
  values.forEach((value) => times.recordValue(Math.min(MAX_RECORDED_MS, Math.round(value))));
  return times;
}

function computeFirstTokenPercentiles(samples: readonly Sample[]): ClassFigures['firstMs'] {
  const whole = samples.filter((sample) => sample.whole);
  if (whole.length === 0) return null;
  const times = createTimeHistogram(whole.map((sample) => sample.firstTokenMs ?? sample.wholeMs));
  const at = (percentile: number) => times.getValueAtPercentile(percentile);
  return { p50: at(50), p95: at(95), p99: at(99) };
}

/** Computes the figures of one class from the samples of all classes. */
export function computeClassFigures(row: Class, samples: readonly Sample[]): ClassFigures {
  const own = samples.filter((sample) => sample.class === row.id);
  const { firstTokenMs, wholeMs } = row.target;
  return {
    class: row.id,
    tier: row.tier,
    targetMs: `${firstTokenMs}/${wholeMs}`,
    requests: own.length,
    attainment: fractionOf(own.filter((s) => meetsTarget(s, row)).length, own.length),
    goodput: fractionOf(own.filter((s) => isInWindow(s, row)).length, own.length),
    shed: own.filter((s) => s.error?.run === 'not-run').length,
    failed: own.filter((s) => !s.whole && s.error?.run !== 'not-run').length,
    firstMs: computeFirstTokenPercentiles(own),
  };
}
