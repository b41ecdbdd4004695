import Table from 'cli-table3';

import type { Run } from './runScenario.js';
import type { Summary } from './summarize.js';
import type { TargetResult } from './targets.js';

// Above either bound, queueing in the load generator itself distorts the latencies.
const SATURATED_LAG_MS = 20;
const SATURATED_BUSY_FRACTION = 0.9;

function formatPercent(part: number): string {
  return `${(part * 100).toFixed(1)}%`;
}

/** Formats a summary as a text table with a row for each class. */
export function formatSummary(summary: Summary): string {
  const table = new Table({
    head: [
      'class',
      'tier',
      'target ms',
      'requests',
      'attainment',
      'goodput',
      'shed',
      'failed',
      'first p50/p95/p99 ms',
    ],
    style: { head: [], border: [] },
  });
  for (const row of summary.classes) {
    const { firstMs } = row;
    table.push([
      row.class,
      row.tier,
      row.targetMs,
      row.requests,
      formatPercent(row.attainment),
      formatPercent(row.goodput),
      row.shed,
      row.failed,
      firstMs === null ? '-' : `${firstMs.p50}/${firstMs.p95}/${firstMs.p99}`,
    ]);
  }
  const waste = `wasted work: ${formatPercent(summary.waste)} of ${summary.tokens} tokens computed`;
  const good = `goodput: ${formatPercent(summary.goodput)}, ${summary.goodPerSecond.toFixed(1)} a second`;
  return `${table.toString()}\n${good}; ${waste}`;
}

/** Formats one run: its summary, shares, use of limits and the event loop of this process. */
export function formatRun(run: Run, title: string): string {
  const shares = run.shares.map(
    (share) =>
      `least share of ${share.class} in ${share.pool}: ${formatPercent(share.least)}, ` +
      `${share.ofGuaranteed.toFixed(2)} of the guaranteed`,
  );
  const limits = run.limits.map(
    (use) =>
      `limit ${use.limit}: ${formatPercent(use.mean)} used, at most ${formatPercent(use.peak)} over 5 s`,
  );
  const { lagP99Ms, busy } = run.loop;
  const isSaturated = lagP99Ms > SATURATED_LAG_MS || busy > SATURATED_BUSY_FRACTION;
  const loop = `event loop of the experiment: ${formatPercent(busy)} busy, lag p99 ${lagP99Ms.toFixed(1)} ms${
    isSaturated ? ' - SATURATED: its latencies are not those of the routers' : ''
  }`;
  return [`# ${title}`, formatSummary(run.summary), ...shares, ...limits, loop].join('\n');
}

function formatNumber(value: number | null): string {
  if (value === null) return 'not measured';
  return String(Math.round(value * 10_000) / 10_000);
}

function formatVerdict(met: boolean | null): string {
  if (met === null) return 'not run';
  return met ? 'met' : 'MISSED';
}

/** Formats targets as a text table, each with its measured figure and verdict. */
export function formatTargets(results: readonly TargetResult[]): string {
  const table = new Table({
    head: ['figure', 'measured', 'target', 'verdict'],
    style: { head: [], border: [] },
  });
  for (const { figure, bound, wanted, measured, met } of results) {
    const sign = bound === 'at-least' ? '>=' : '<=';
    table.push([
      figure,
      formatNumber(measured),
      `${sign} ${formatNumber(wanted)}`,
      formatVerdict(met),
    ]);
  }
  return table.toString();
}
