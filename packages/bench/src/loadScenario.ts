import { readdir, readFile } from 'node:fs/promises';

import { checkShape } from '@filbertlatch/core';

import { scenarioSchema, type Scenario } from './scenario.js';

const SCENARIOS_URL = new URL('../../scenarios/', import.meta.url);
const FILE_EXTENSION = '.json';

/** Lists the names of the scenarios of this package, sorted. */
export async function listScenarios(): Promise<string[]> {
  const files = await readdir(SCENARIOS_URL);
  return files
    .filter((file) => file.endsWith(FILE_EXTENSION))
    .map((file) => file.slice(0, -FILE_EXTENSION.length))
    .sort();
}

/** Reads a scenario of this package by name. Throws TypeError that names each invalid field. */
export async function loadScenario(name: string): Promise<Scenario> {
  const text = await readFile(new URL(`${name}${FILE_EXTENSION}`, SCENARIOS_URL), 'utf8');
  const checked = checkShape(scenarioSchema, JSON.parse(text));
  if (checked.ok) return checked.value;
  const faults = checked.faults.map((f) => `${f.path}: ${f.expected}`).join('; ');
  throw new TypeError(`scenario ${name}: ${faults}`);
}
