import { readFile } from 'node:fs/promises';

import { checkShape } from '@filbertlatch/core';
import * as z from 'zod';

import { UsageError } from '../shared/index.js';

const resultSchema = z.object({
  experiment: z.string(),
  seed: z.number(),
  figures: z.record(z.string(), z.number()),
});

/** The figures of one run of an experiment, by name. */
export type Result = z.infer<typeof resultSchema>;

function parseLine(path: string, line: string, number: number): Result {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch (cause) {
    throw new UsageError(`${path}:${number}: is not JSON`, { cause });
  }
  const checked = checkShape(resultSchema, value);
  if (checked.ok) return checked.value;
  const { path: field, expected } = checked.faults[0]!;
  throw new UsageError(`${path}:${number}: ${field}: expected ${expected}`);
}

/** Reads results of the experiment tool, one JSON object a line; skips other lines. Throws UsageError. */
export async function readResults(path: string): Promise<Result[]> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (cause) {
    throw new UsageError(`${path}: cannot be read`, { cause });
  }
  const lines = text.split('\n').map((line, index) => [line.trim(), index + 1] as const);
  const results = lines
    .filter(([line]) => line.startsWith('{'))
    .map(([line, number]) => parseLine(path, line, number));
  if (results.length === 0) throw new UsageError(`${path}: contains no result`);
  return results;
}
