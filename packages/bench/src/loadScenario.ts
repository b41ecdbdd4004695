import { readdir, readFile } from 'node:fs/promises';

import { checkShape } from '@filbertlatch/core';

import { scenarioSchema, type Scenario } from './scenario.js';

const SCENARIOS = new URL('../../scenarios/', import.meta.url);
const ENDING = '.json';

/** Lists the names of the scenarios that come with this package. */
export async function listScenarios(): Promise<string[]> {
  const files = await readdir(SCENARIOS);
  return files
    .filter((file) => file.endsWith(ENDING))
    .map((file) => file.slice(0, -ENDING.length))
    .sort();
}

/** Reads a scenario that comes with this package, by its name. Throws TypeError with each fault. */
export async function loadScenario(name: string): Promise<Scenario> {
  const text = await readFile(new URL(`${name}${ENDING}`, SCENARIOS), 'utf8');
  const checked = checkShape(scenarioSchema, JSON.parse(text));
  if (checked.ok) return checked.value;
  const faults = checked.faults.map((f) => `${f.path}: ${f.expected}`).join('; ');
  throw new TypeError(`scenario ${name}: ${faults}`);
}
