import type { Sample } from '@filbertlatch/bench';
import { createHistogram, readPercentiles, recordMs, type Percentiles } from '@filbertlatch/router';

import { formatTable } from '../shared/index.js';

/** What the callers of one class saw. */
export interface LoadFigures {
  readonly class: string;
  readonly requests: number;
  readonly whole: number;
  /** Number of answers by error code; `none` is a closed connection. */
  readonly errors: Readonly<Record<string, number>>;
  readonly firstTokenMs: Percentiles;
  readonly wholeMs: Percentiles;
}

function percentilesOf(values: readonly (number | null)[]): Percentiles {
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

/** Sums up what callers saw, by class. */
export function summarizeLoad(samples: readonly Sample[]): LoadFigures[] {
  const names = [...new Set(samples.map((sample) => sample.class))].sort();
  return names.map((name) => {
    const own = samples.filter((sample) => sample.class === name);
    const whole = own.filter((sample) => sample.whole);
    return {
      class: name,
      requests: own.length,
      whole: whole.length,
      errors: countErrors(own),
      firstTokenMs: percentilesOf(whole.map((sample) => sample.firstTokenMs)),
      wholeMs: percentilesOf(whole.map((sample) => sample.wholeMs)),
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
  return `${formatTable(head, rows)}\nTimes are p50 / p95 / p99 of whole answers.`;
}
