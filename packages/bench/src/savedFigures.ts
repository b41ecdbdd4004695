import { mkdir, readFile, writeFile } from 'node:fs/promises';

import Table from 'cli-table3';
import * as z from 'zod';

import type { Figures } from './targets.js';

const MEASUREMENTS_URL = new URL('../../../../docs/measurements/', import.meta.url);

/** Figures of an experiment, by seed and name. */
const savedSchema = z.record(z.string(), z.record(z.string(), z.number()));

function savedFileUrl(experiment: string): URL {
  return new URL(`${experiment}.json`, MEASUREMENTS_URL);
}

function isMissing(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ENOENT';
}

async function readSaved(experiment: string): Promise<z.infer<typeof savedSchema>> {
  try {
    return savedSchema.parse(JSON.parse(await readFile(savedFileUrl(experiment), 'utf8')));
  } catch (error) {
    if (isMissing(error)) return {};
    throw error;
  }
}

/** Saves the figures of a run, in place of earlier ones for the same seed. */
export async function saveFigures(
  experiment: string,
  seed: number,
  figures: Figures,
): Promise<void> {
  const saved = { ...(await readSaved(experiment)), [seed]: figures };
  await mkdir(MEASUREMENTS_URL, { recursive: true });
  await writeFile(savedFileUrl(experiment), `${JSON.stringify(saved, null, 2)}\n`);
}

/** Formats the figures of a run beside those saved for the same seed, as a text table. */
export async function comparePrevious(
  experiment: string,
  seed: number,
  figures: Figures,
): Promise<string> {
  const before = (await readSaved(experiment))[seed];
  if (before === undefined) return `no figures of ${experiment} are saved for seed ${seed}`;
  const table = new Table({ head: ['figure', 'previous', 'now'], style: { head: [], border: [] } });
  for (const [name, value] of Object.entries(figures)) {
    table.push([name, before[name] ?? '-', value]);
  }
  return table.toString();
}
