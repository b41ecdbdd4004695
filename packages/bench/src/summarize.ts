import { tiers, type Class, type Table } from '@filbertlatch/core';

import type { Fleet } from './createFleet.js';
import type { Sample } from './sendRequest.js';

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
}

/** What a run came to. */
export interface Summary {
  readonly classes: readonly ClassFigures[];
  /** Part of the computed tokens that no caller received whole and in time, 0 to 1. */
  readonly waste: number;
  readonly tokens: number;
}

function isInWindow(sample: Sample, row: Class): boolean {
  return sample.whole && sample.wholeMs <= row.target.wholeMs;
}

function meetsTarget(sample: Sample, row: Class): boolean {
  if (!isInWindow(sample, row)) return false;
  const { firstTokenMs, betweenTokensMs } = row.target;
  const first = sample.firstTokenMs ?? sample.wholeMs;
  const gap = sample.tokens > 1 ? (sample.wholeMs - first) / (sample.tokens - 1) : 0;
  return first <= firstTokenMs && gap <= betweenTokensMs;
}

function part(count: number, all: number): number {
  return all === 0 ? 1 : count / all;
}

function figuresOf(row: Class, samples: readonly Sample[]): ClassFigures {
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
  };
}

/** Sums up a run: what callers got, and what was computed for nothing. */
export function summarize(table: Table, fleet: Fleet, samples: readonly Sample[]): Summary {
  const rows = [...table.classes].sort((a, b) => tiers.indexOf(a.tier) - tiers.indexOf(b.tier));
  const computed = fleet.engines.reduce((sum, engine) => sum + engine.queue.produced, 0);
  const rowById = new Map(rows.map((row) => [row.id, row]));
  const useful = samples
    .filter((sample) => isInWindow(sample, rowById.get(sample.class)!))
    .reduce((sum, sample) => sum + sample.tokens, 0);
  return {
    classes: rows.map((row) => figuresOf(row, samples)),
    waste: computed === 0 ? 0 : Math.max(0, 1 - useful / computed),
    tokens: computed,
  };
}
