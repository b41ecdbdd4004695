import type { Run } from './runScenario.js';
import type { Figures } from './targets.js';

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

function listClassFigures({ summary }: Run): [string, number][] {
  return summary.classes.flatMap((row): [string, number][] => [
    [`${row.class}.requests`, row.requests],
    [`${row.class}.attainment`, row.attainment],
    [`${row.class}.goodput`, row.goodput],
    [`${row.class}.shed`, row.shed],
    [`${row.class}.failed`, row.failed],
    ...Object.entries(row.firstMs ?? {}).map(([name, value]): [string, number] => [
      `${row.class}.first.${name}Ms`,
      value,
    ]),
  ]);
}

function listShareFigures({ shares }: Run): [string, number][] {
  return shares.flatMap((share): [string, number][] => [
    [`${share.class}.leastShare.${share.pool}`, share.least],
    [`${share.class}.leastShareOfGuaranteed.${share.pool}`, share.ofGuaranteed],
  ]);
}

/** Returns the figures of a run by name, rounded to four decimals; each name begins with `prefix`. */
export function collectRunFigures(run: Run, prefix = ''): Figures {
  const { summary, limits, loop } = run;
  const entries: [string, number][] = [
    ...listClassFigures(run),
    ...listShareFigures(run),
    ...limits.flatMap((use): [string, number][] => [
      [`limit.${use.limit}.meanUse`, use.mean],
      [`limit.${use.limit}.mostOver5s`, use.peak],
    ]),
    ['goodput', summary.goodput],
    ['goodPerSecond', summary.goodPerSecond],
    ['waste', summary.waste],
    ['tokens', summary.tokens],
    ['loads', summary.loads],
    ['loop.lagP99Ms', loop.lagP99Ms],
    ['loop.busy', loop.busy],
  ];
  return Object.fromEntries(entries.map(([name, value]) => [`${prefix}${name}`, round(value)]));
}
