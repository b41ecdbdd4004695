import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { tiers, type Class } from '@filbertlatch/core';

import { createTimeHistogram, meetsTarget } from '../classFigures.js';
import type { Run } from '../runScenario.js';
import type { Sample } from '../sendRequest.js';
import { drawChart, type Series } from './chart.js';

const MS_PER_SECOND = 1000;
/** Resolution of the queue lengths over time. */
const QUEUE_STEP_MS = 100;

function findStart(samples: readonly Sample[]): number {
  return samples.reduce((least, sample) => Math.min(least, sample.startedAt), Infinity);
}

function buildAttainmentSeries(row: Class, run: Run): Series {
  const start = findStart(run.samples);
  const bySecond = new Map<number, boolean[]>();
  run.samples
    .filter((sample) => sample.class === row.id)
    .forEach((sample) => {
      const second = Math.floor((sample.startedAt - start) / MS_PER_SECOND);
      bySecond.set(second, [...(bySecond.get(second) ?? []), meetsTarget(sample, row)]);
    });
  const points = [...bySecond]
    .sort(([a], [b]) => a - b)
    .map(([second, met]) => [second, met.filter(Boolean).length / met.length] as const);
  return { name: row.id, points };
}

/** Number of requests of a tier that wait for their first token, over time. */
function buildQueueSeries(tier: string, run: Run): Series {
  const start = findStart(run.samples);
  const rows = new Set(run.classes.filter((row) => row.tier === tier).map((row) => row.id));
  const changes = new Map<number, number>();
  const change = (instant: number, by: number) => {
    const step = Math.floor((instant - start) / QUEUE_STEP_MS);
    changes.set(step, (changes.get(step) ?? 0) + by);
  };
  run.samples
    .filter((sample) => rows.has(sample.class))
    .forEach((sample) => {
      change(sample.startedAt, 1);
      change(sample.startedAt + (sample.firstTokenMs ?? sample.wholeMs), -1);
    });
  let waiting = 0;
  const points = [...changes]
    .sort(([a], [b]) => a - b)
    .map(([step, by]) => {
      waiting += by;
      return [(step * QUEUE_STEP_MS) / MS_PER_SECOND, waiting] as const;
    });
  return { name: tier, points };
}

function buildLatencySeries(row: Class, run: Run): Series {
  const values = run.samples
    .filter((sample) => sample.class === row.id && sample.whole)
    .map((sample) => sample.firstTokenMs ?? sample.wholeMs);
  const times = createTimeHistogram(values);
  const percentiles = Array.from({ length: 100 }, (_, index) => index);
  return {
    name: row.id,
    points: percentiles.map((p) => [p, times.getValueAtPercentile(p)] as const),
  };
}

/** Writes SVG plots of attainment, queues and latencies of a run to `NAME-KIND.svg` in a directory. */
export async function plotRun(run: Run, directory: string, name: string): Promise<void> {
  const charts = {
    attainment: drawChart({
      title: `${name}: attainment by class`,
      xLabel: 'second of arrival',
      yLabel: 'fraction that met its targets',
      series: run.classes.map((row) => buildAttainmentSeries(row, run)),
      yMax: 1,
    }),
    queue: drawChart({
      title: `${name}: requests without a first token, by tier`,
      xLabel: 'second',
      yLabel: 'requests',
      series: tiers.map((tier) => buildQueueSeries(tier, run)),
    }),
    latency: drawChart({
      title: `${name}: time to the first token, or to a whole answer`,
      xLabel: 'percentile of whole answers',
      yLabel: 'ms',
      series: run.classes.map((row) => buildLatencySeries(row, run)),
    }),
  };
  await mkdir(directory, { recursive: true });
  for (const [kind, svg] of Object.entries(charts)) {
    await writeFile(join(directory, `${name}-${kind}.svg`), svg);
  }
}
