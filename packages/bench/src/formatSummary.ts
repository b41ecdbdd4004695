import Table from 'cli-table3';

import type { Run } from './runScenario.js';
import type { Summary } from './summarize.js';
import type { TargetResult } from './targets.js';

const SATURATED_LAG_MS = 20;
const SATURATED_BUSY = 0.9;

function percent(part: number): string {
  return `${(part * 100).toFixed(1)}%`;
}

/** Formats a summary as a text table. */
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
      percent(row.attainment),
      percent(row.goodput),
      row.shed,
      row.failed,
      firstMs === null ? '-' : `${firstMs.p50}/${firstMs.p95}/${firstMs.p99}`,
    ]);
  }
  const waste = `wasted work: ${percent(summary.waste)} of ${summary.tokens} tokens computed`;
  const good = `goodput: ${percent(summary.goodput)}, ${summary.goodPerSecond.toFixed(1)} a second`;
  return `${table.toString()}\n${good}; ${waste}`;
}

/** Formats one run with its shares, limits and the experiment's own event loop. */
export function formatRun(run: Run, title: string): string {
  const shares = run.shares.map(
    (share) =>
      `least share of ${share.class} in ${share.pool}: ${percent(share.least)}, ` +
      `${share.ofGuaranteed.toFixed(2)} of the guaranteed`,
  );
  const limits = run.limits.map(
    (use) => `limit ${use.limit}: ${percent(use.mean)} used, at most ${percent(use.most)} over 5 s`,
  );
  const { lagP99Ms, busy } = run.loop;
  const isSaturated = lagP99Ms > SATURATED_LAG_MS || busy > SATURATED_BUSY;
  const loop = `event loop of the experiment: ${percent(busy)} busy, lag p99 ${lagP99Ms.toFixed(1)} ms${
    isSaturated ? ' - SATURATED: its latencies are not the routers' : ''
  }`;
  return [`# ${title}`, formatSummary(run.summary), ...shares, ...limits, loop].join('\n');
}

function formatNumber(value: number | null): string {
  if (value === null) return 'not measured';
  return String(Math.round(value * 10_000) / 10_000);
}

function verdictOf(met: boolean | null): string {
  if (met === null) return 'not run';
  return met ? 'met' : 'MISSED';
}

/** Formats targets beside what was measured. */
export function formatTargets(results: readonly TargetResult[]): string {
  const table = new Table({
    head: ['figure', 'measured', 'target', 'verdict'],
    style: { head: [], border: [] },
  });
  for (const { figure, bound, wanted, measured, met } of results) {
    const sign = bound === 'at-least' ? '>=' : '<=';
    table.push([figure, formatNumber(measured), `${sign} ${formatNumber(wanted)}`, verdictOf(met)]);
  }
  return table.toString();
}
