import { tiers, type Table } from '@filbertlatch/core';

import { computeClassFigures, isInWindow, type ClassFigures } from './classFigures.js';
import type { Fleet } from './createFleet.js';
import type { Sample } from './sendRequest.js';

const MS_PER_SECOND = 1000;

/** Figures of a whole run. */
export interface Summary {
  readonly classes: readonly ClassFigures[];
  /** Fraction of the computed tokens that are in no whole answer within its window, 0 to 1. */
  readonly waste: number;
  /** Tokens that the engines computed. */
  readonly tokens: number;
  /** Number of model loads that the engines were ordered to make. */
  readonly loads: number;
  /** Fraction of all requests that got a whole answer within their window, 0 to 1. */
  readonly goodput: number;
  /** Whole answers within their windows per second, between the warm-up and the end of the load. */
  readonly goodPerSecond: number;
}

/** Summarizes a run; `seconds` bounds the time over which `goodPerSecond` is measured. */
export function summarize(
  table: Table,
  fleet: Pick<Fleet, 'engines'>,
  samples: readonly Sample[],
  seconds: { readonly from: number; readonly to: number } = { from: 0, to: Infinity },
): Summary {
  const rows = [...table.classes].sort((a, b) => tiers.indexOf(a.tier) - tiers.indexOf(b.tier));
  const computedTokens = fleet.engines.reduce(
    (sum, engine) => sum + engine.queue.producedTokens,
    0,
  );
  const rowById = new Map(rows.map((row) => [row.id, row]));
  const good = samples.filter((sample) => isInWindow(sample, rowById.get(sample.class)!));
  const usefulTokens = good
    .filter((sample) => !sample.target.startsWith('service:'))
    .reduce((sum, sample) => sum + sample.tokens, 0);
  const start = samples.reduce((least, sample) => Math.min(least, sample.startedAt), Infinity);
  const endOf = (sample: Sample) => sample.startedAt + sample.wholeMs - start;
  const last = samples.reduce((most, sample) => Math.max(most, endOf(sample)), 0);
  const until = Math.min(seconds.to, last / MS_PER_SECOND);
  const inTime = good.filter((sample) => {
    const second = endOf(sample) / MS_PER_SECOND;
    return second >= seconds.from && second < until;
  });
  return {
    classes: rows.map((row) => computeClassFigures(row, samples)),
    waste: computedTokens === 0 ? 0 : Math.max(0, 1 - usefulTokens / computedTokens),
    tokens: computedTokens,
    loads: fleet.engines.reduce((sum, engine) => sum + engine.models.taken.length, 0),
    goodput: samples.length === 0 ? 1 : good.length / samples.length,
    goodPerSecond: inTime.length / Math.max(1, until - seconds.from),
  };
}
