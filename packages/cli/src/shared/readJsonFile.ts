import { readFile } from 'node:fs/promises';

import { checkTable, type Table } from '@filbertlatch/core';

import { UsageError } from './errors.js';

/** Reads and parses a JSON file. Throws UsageError. */
export async function readJsonFile(path: string): Promise<unknown> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (cause) {
    throw new UsageError(`${path}: cannot be read`, { cause });
  }
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new UsageError(`${path}: is not JSON: ${(cause as Error).message}`, { cause });
  }
}

/** Reads and checks a configuration table. Throws UsageError that lists all faults. */
export async function readTable(path: string): Promise<Table> {
  const checked = checkTable(await readJsonFile(path));
  if (checked.ok) return checked.value;
  const lines = checked.faults.map((f) => `${f.path}: expected ${f.expected}, found ${f.found}`);
  throw new UsageError([`${path}: is not a valid table`, ...lines].join('\n'));
}
