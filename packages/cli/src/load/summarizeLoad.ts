import type { Sample } from '@filbertlatch/bench';
import { createHistogram, readPercentiles, recordMs, type Percentiles } from '@filbertlatch/router';

import { formatTable } from '../shared/index.js';

/** Results of one class’s requests as the callers measured them. */
export interface LoadFigures {
  readonly class: string;
  readonly requests: number;
  /** Number of answers that arrived complete. */
  readonly whole: number;
  /** Number of incomplete answers by error code; `none` means that the connection closed without one. */
  readonly errors: Readonly<Record<string, number>>;
  /** Time to the first token of complete answers. */
  readonly firstTokenMs: Percentiles;
  /** Total time of complete answers. */
  readonly wholeMs: Percentiles;
}

function computePercentiles(values: readonly (number | null)[]): Percentiles {
  const histogram = createHistogram();
  values.forEach((value) => {
    if (value !== null) recordMs(histogram, value);
  });
  return readPercentiles([histogram]);
}

function countErrors(samples: readonly Sample[]): Record<string, number> {
  const counts: Record<string, number> = {};
  samples.forEach(({ whole, error }) => {
    if (whole) return;
    const code = error?.code ?? 'none';
    counts[code] = (counts[code] ?? 0) + 1;
  });
  return counts;
}

/** Aggregates samples by class, sorted by class id. */
export function summarizeLoad(samples: readonly Sample[]): LoadFigures[] {
  const classIds = [...new Set(samples.map((sample) => sample.class))].sort();
  return classIds.map((name) => {
    const classSamples = samples.filter((sample) => sample.class === name);
    const whole = classSamples.filter((sample) => sample.whole);
    return {
      class: name,
      requests: classSamples.length,
      whole: whole.length,
      errors: countErrors(classSamples),
      firstTokenMs: computePercentiles(whole.map((sample) => sample.firstTokenMs)),
      wholeMs: computePercentiles(whole.map((sample) => sample.wholeMs)),
    };
  });
}

function formatPercentiles({ p50, p95, p99 }: Percentiles): string {
  return [p50, p95, p99].map((ms) => (ms === null ? '-' : ms.toFixed(0))).join(' / ');
}

function formatErrors(errors: LoadFigures['errors']): string {
  return Object.entries(errors)
    .map(([code, count]) => `${count} ${code}`)
    .join(', ');
}

/** Formats the figures as a text table. */
export function formatLoad(figures: readonly LoadFigures[]): string {
  const head = ['class', 'requests', 'whole', 'first token ms', 'whole ms', 'errors'];
  const rows = figures.map((row) => [
    row.class,
    row.requests,
    row.whole,
    formatPercentiles(row.firstTokenMs),
    formatPercentiles(row.wholeMs),
    formatErrors(row.errors),
  ]);
  return `${formatTable(head, rows)}\nTimes are p50 / p95 / p99 of whole (complete) answers.`;
}
