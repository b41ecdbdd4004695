import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { Scenario } from '../scenario.js';
import type { Figures } from '../targets.js';
import { drawChart, type Series } from './chart.js';

/** Returns whether the variants of a scenario differ in their load. */
export function isSweep({ variants }: Scenario): boolean {
  return new Set(variants.map((variant) => variant.loadFactor)).size > 1;
}

function buildSeries(scenario: Scenario, figures: Figures, prefix: string, name: string): Series {
  const points = scenario.variants
    .map(({ name: variant, loadFactor }) => {
      const good = figures[`${prefix}${variant}.goodPerSecond`];
      return good === undefined ? null : ([loadFactor, good] as const);
    })
    .filter((point) => point !== null);
  return { name, points };
}

/** Writes an SVG plot of whole answers in time per second over the load, a line for each policy. */
export async function plotSweep(
  scenario: Scenario,
  figures: Figures,
  policies: readonly { readonly name: string; readonly prefix: string }[],
  directory: string,
): Promise<void> {
  const svg = drawChart({
    title: `${scenario.name}: answers whole and in time`,
    xLabel: 'load over capacity',
    yLabel: 'answers per second',
    series: policies.map(({ name, prefix }) => buildSeries(scenario, figures, prefix, name)),
  });
  await mkdir(directory, { recursive: true });
  await writeFile(join(directory, `${scenario.name}.svg`), svg);
}
