import type { Class } from '@filbertlatch/core';

import type { Sample } from './sendRequest.js';

/** Resolution of the timelines. */
const STEP_MS = 250;
/** Sliding window in which a share is measured. */
const WINDOW_MS = 10_000;

/**
 * Lowest share of a pool that a class got in any window in which it had a request waiting
 * throughout and asked for at least its guaranteed share. A class that asks for less is owed only
 * what it asks for, so those windows do not count.
 */
export interface LeastShare {
  readonly class: string;
  readonly pool: string;
  /** Fraction of the tokens served by the pool, 0 to 1. */
  readonly least: number;
  /** `least` over the guaranteed share; at least 1 where the guarantee held. */
  readonly ofGuaranteed: number;
  /** Number of windows that count. */
  readonly windows: number;
}

/** For each step of a run: tokens requested and served, and 1 if a request waited in it. */
interface Timeline {
  readonly asked: Float64Array;
  readonly served: Float64Array;
  readonly waited: Uint8Array;
}

function stepAt(instant: number, start: number): number {
  return Math.floor((instant - start) / STEP_MS);
}

function spreadTokens(served: Float64Array, tokens: number, from: number, to: number): void {
  const first = Math.max(0, from);
  const last = Math.min(served.length - 1, Math.max(first, to));
  const each = tokens / (last - first + 1);
  for (let step = first; step <= last; step += 1) served[step]! += each;
}

function recordSample(timeline: Timeline, sample: Sample, start: number): void {
  const waitMs = sample.firstTokenMs ?? sample.wholeMs;
  const arrived = stepAt(sample.startedAt, start);
  const began = stepAt(sample.startedAt + waitMs, start);
  const ended = stepAt(sample.startedAt + sample.wholeMs, start);
  if (arrived < timeline.asked.length) {
    timeline.asked[arrived]! += sample.promptTokens + sample.askedTokens;
  }
  for (let step = Math.max(0, arrived); step <= began; step += 1) {
    if (step < timeline.waited.length) timeline.waited[step] = 1;
  }
  if (!sample.whole) return;
  const tokens = sample.promptTokens + sample.tokens;
  spreadTokens(timeline.served, tokens, sample.streamed ? began : arrived, ended);
}

function sum(values: Float64Array, from: number, to: number): number {
  return values.subarray(from, to).reduce((a, b) => a + b, 0);
}

function findLeastShare(
  row: Class,
  pool: string,
  own: Timeline,
  total: Float64Array,
  seconds: number,
): LeastShare | null {
  const length = WINDOW_MS / STEP_MS;
  const steps = Math.floor((seconds * 1000) / STEP_MS);
  let least = Infinity;
  let windows = 0;
  for (let from = 0; from + length <= steps; from += 1) {
    const always = own.waited.subarray(from, from + length).every((waited) => waited === 1);
    const all = sum(total, from, from + length);
    const isOwed = sum(own.asked, from, from + length) >= row.share * all;
    if (!always || !isOwed || all === 0) continue;
    windows += 1;
    least = Math.min(least, sum(own.served, from, from + length) / all);
  }
  if (windows === 0) return null;
  const ofGuaranteed = row.share === 0 ? 1 : least / row.share;
  return { class: row.id, pool, least, ofGuaranteed, windows };
}

/** Finds the lowest share of each class in each pool where at least one window counts. */
export function findLeastShares(
  rows: readonly Class[],
  samples: readonly Sample[],
  seconds: number,
): LeastShare[] {
  const start = samples.reduce((least, sample) => Math.min(least, sample.startedAt), Infinity);
  const steps = Math.ceil((seconds * 1000) / STEP_MS);
  const pools = [...new Set(samples.map((sample) => sample.target.split(' ')[0]!))];
  return pools.flatMap((pool) => {
    const inPool = samples.filter((sample) => sample.target.split(' ')[0] === pool);
    const timelines = new Map<string, Timeline>();
    const total = new Float64Array(steps);
    for (const sample of inPool) {
      const timeline = timelines.get(sample.class) ?? {
        asked: new Float64Array(steps),
        served: new Float64Array(steps),
        waited: new Uint8Array(steps),
      };
      timelines.set(sample.class, timeline);
      recordSample(timeline, sample, start);
    }
    timelines.forEach(({ served }) =>
      served.forEach((value, step) => {
        total[step]! += value;
      }),
    );
    return rows
      .filter((row) => timelines.has(row.id))
      .map((row) => findLeastShare(row, pool, timelines.get(row.id)!, total, seconds))
      .filter((share) => share !== null);
  });
}
