import type { Limit } from '@filbertlatch/core';

import type { Sample } from './sendRequest.js';

const MS_PER_SECOND = 1000;
/** Resolution of the tokens over time. */
const STEP_MS = 50;
/** Sliding window in which the peak use is found. */
const WINDOW_MS = 5000;

/** Tokens that a limit let pass, as fractions of its rate. */
export interface LimitUse {
  readonly limit: string;
  /** Mean over the measured seconds. */
  readonly mean: number;
  /** Highest use in any window of 5 s. */
  readonly peak: number;
}

function recordUse(used: Float64Array, sample: Sample, start: number): void {
  const from = sample.startedAt - start + (sample.firstTokenMs ?? 0);
  const to = sample.startedAt - start + sample.wholeMs;
  const first = Math.max(0, Math.floor(from / STEP_MS));
  const last = Math.max(first, Math.floor(to / STEP_MS));
  if (first < used.length) used[first]! += sample.promptTokens;
  for (let step = first; step <= last && step < used.length; step += 1) {
    used[step]! += sample.tokens / (last - first + 1);
  }
}

/** Measures the tokens that a limit let pass, from the end of the warm-up to the end of the load. */
export function measureLimitUse(
  limit: Limit,
  samples: readonly Sample[],
  accountOf: (sample: Sample) => string,
  seconds: { readonly from: number; readonly to: number },
): LimitUse {
  const start = samples.reduce((least, sample) => Math.min(least, sample.startedAt), Infinity);
  const used = new Float64Array(Math.ceil((seconds.to * MS_PER_SECOND) / STEP_MS));
  samples
    .filter((sample) => sample.whole)
    .filter((sample) => limit.class === undefined || limit.class === sample.class)
    .filter((sample) => limit.account === undefined || limit.account === accountOf(sample))
    .forEach((sample) => recordUse(used, sample, start));
  const firstStep = Math.floor((seconds.from * MS_PER_SECOND) / STEP_MS);
  const length = WINDOW_MS / STEP_MS;
  const allowed = (limit.tokensPerSecond * WINDOW_MS) / MS_PER_SECOND;
  let peak = 0;
  for (let from = firstStep; from + length <= used.length; from += 1) {
    const sum = used.subarray(from, from + length).reduce((a, b) => a + b, 0);
    peak = Math.max(peak, sum / allowed);
  }
  const total = used.subarray(firstStep).reduce((a, b) => a + b, 0);
  const span = seconds.to - seconds.from;
  return { limit: limit.id, mean: total / span / limit.tokensPerSecond, peak };
}
