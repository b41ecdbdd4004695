import { mkdir, readFile, writeFile } from 'node:fs/promises';

import Table from 'cli-table3';
import * as z from 'zod';

import type { Figures } from './targets.js';

const SAVED = new URL('../../../../docs/measurements/', import.meta.url);

/** Figures of an experiment by seed. */
const savedSchema = z.record(z.string(), z.record(z.string(), z.number()));

function fileOf(experiment: string): URL {
  return new URL(`${experiment}.json`, SAVED);
}

function isMissing(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ENOENT';
}

async function readSaved(experiment: string): Promise<z.infer<typeof savedSchema>> {
  try {
    return savedSchema.parse(JSON.parse(await readFile(fileOf(experiment), 'utf8')));
  } catch (error) {
    if (isMissing(error)) return {};
    throw error;
  }
}

/** Keeps a run's figures, so that the next round can be compared with it. */
export async function saveFigures(
  experiment: string,
  seed: number,
  figures: Figures,
): Promise<void> {
  const saved = { ...(await readSaved(experiment)), [seed]: figures };
  await mkdir(SAVED, { recursive: true });
  await writeFile(fileOf(experiment), `${JSON.stringify(saved, null, 2)}\n`);
}

/** Formats a run's figures beside those that were saved for the same seed. */
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
