import type { Class } from '@filbertlatch/core';
import { build, type Histogram } from 'hdr-histogram-js';

import type { Sample } from './sendRequest.js';

const LONGEST_MS = 120_000;

/** What the callers of one class got. */
export interface ClassFigures {
  readonly class: string;
  readonly tier: string;
  readonly targetMs: string;
  readonly requests: number;
  /** Part of all requests that met every latency target, 0 to 1. */
  readonly attainment: number;
  /** Part of all requests answered whole, once, within the window, 0 to 1. */
  readonly goodput: number;
  readonly shed: number;
  readonly failed: number;
  /** Time to the first token of streamed answers, to the whole of others; null without any. */
  readonly firstMs: { readonly p50: number; readonly p95: number; readonly p99: number } | null;
}

/** Says whether an answer was whole and within its class's window. */
export function isInWindow(sample: Sample, row: Class): boolean {
  return sample.whole && sample.wholeMs <= row.target.wholeMs;
}

/** Says whether an answer met every target of its class that applies to it. */
export function meetsTarget(sample: Sample, row: Class): boolean {
  if (!isInWindow(sample, row)) return false;
  // A caller of a whole answer sees no first token: only the window applies.
  if (!sample.streamed || sample.firstTokenMs === null) return true;
  const { firstTokenMs, betweenTokensMs } = row.target;
  const later = sample.tokens - 1;
  const gap = later > 0 ? (sample.wholeMs - sample.firstTokenMs) / later : 0;
  return sample.firstTokenMs <= firstTokenMs && gap <= betweenTokensMs;
}

function part(count: number, all: number): number {
  return all === 0 ? 1 : count / all;
}

/** Creates a histogram of times in whole milliseconds. */
export function createTimes(values: readonly number[]): Histogram {
  const times = build({ highestTrackableValue: LONGEST_MS, numberOfSignificantValueDigits: 3 });
  values.forEach((value) => times.recordValue(Math.min(LONGEST_MS, Math.round(value))));
  return times;
}

function firstTimes(samples: readonly Sample[]): ClassFigures['firstMs'] {
  const whole = samples.filter((sample) => sample.whole);
  if (whole.length === 0) return null;
  const times = createTimes(whole.map((sample) => sample.firstTokenMs ?? sample.wholeMs));
  const at = (percentile: number) => times.getValueAtPercentile(percentile);
  return { p50: at(50), p95: at(95), p99: at(99) };
}

/** Works out what the callers of one class got. */
export function figuresOf(row: Class, samples: readonly Sample[]): ClassFigures {
  const own = samples.filter((sample) => sample.class === row.id);
  const { firstTokenMs, wholeMs } = row.target;
  return {
    class: row.id,
    tier: row.tier,
    targetMs: `${firstTokenMs}/${wholeMs}`,
    requests: own.length,
    attainment: part(own.filter((s) => meetsTarget(s, row)).length, own.length),
    goodput: part(own.filter((s) => isInWindow(s, row)).length, own.length),
    shed: own.filter((s) => s.error?.run === 'not-run').length,
    failed: own.filter((s) => !s.whole && s.error?.run !== 'not-run').length,
    firstMs: firstTimes(own),
  };
}
