import Table from 'cli-table3';

import type { Summary } from './summarize.js';

function percent(part: number): string {
  return `${(part * 100).toFixed(1)}%`;
}

/** Formats a summary as a text table. */
export function formatSummary(summary: Summary): string {
  const table = new Table({
    head: ['class', 'tier', 'target ms', 'requests', 'attainment', 'goodput', 'shed', 'failed'],
    style: { head: [], border: [] },
  });
  for (const row of summary.classes) {
    table.push([
      row.class,
      row.tier,
      row.targetMs,
      row.requests,
      percent(row.attainment),
      percent(row.goodput),
      row.shed,
      row.failed,
    ]);
  }
  const waste = `wasted work: ${percent(summary.waste)} of ${summary.tokens} tokens computed`;
  return `${table.toString()}\n${waste}`;
}
