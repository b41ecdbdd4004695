import { tiers, type Table } from '@filbertlatch/core';

import { figuresOf, isInWindow, type ClassFigures } from './classFigures.js';
import type { Fleet } from './createFleet.js';
import type { Sample } from './sendRequest.js';

const MS_PER_SECOND = 1000;

/** What a run came to. */
export interface Summary {
  readonly classes: readonly ClassFigures[];
  /** Part of the computed tokens that no caller received whole and in time, 0 to 1. */
  readonly waste: number;
  readonly tokens: number;
  /** Loads of models that the engines were ordered to make. */
  readonly loads: number;
  /** Part of all requests answered whole within their windows, 0 to 1. */
  readonly goodput: number;
  /** Answers whole within their windows a second, between the warm-up and the load's end. */
  readonly goodPerSecond: number;
}

/** Sums up a run: what callers got, and what was computed for nothing. */
export function summarize(
  table: Table,
  fleet: Pick<Fleet, 'engines'>,
  samples: readonly Sample[],
  seconds: { readonly from: number; readonly to: number } = { from: 0, to: Infinity },
): Summary {
  const rows = [...table.classes].sort((a, b) => tiers.indexOf(a.tier) - tiers.indexOf(b.tier));
  const computed = fleet.engines.reduce((sum, engine) => sum + engine.queue.produced, 0);
  const rowById = new Map(rows.map((row) => [row.id, row]));
  const good = samples.filter((sample) => isInWindow(sample, rowById.get(sample.class)!));
  const useful = good
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
    classes: rows.map((row) => figuresOf(row, samples)),
    waste: computed === 0 ? 0 : Math.max(0, 1 - useful / computed),
    tokens: computed,
    loads: fleet.engines.reduce((sum, engine) => sum + engine.models.taken.length, 0),
    goodput: samples.length === 0 ? 1 : good.length / samples.length,
    goodPerSecond: inTime.length / Math.max(1, until - seconds.from),
  };
}
