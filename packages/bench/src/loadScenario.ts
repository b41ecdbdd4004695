import { readFile } from 'node:fs/promises';

import { checkShape } from '@filbertlatch/core';

import { scenarioSchema, type Scenario } from './scenario.js';

const SCENARIOS = new URL('../../scenarios/', import.meta.url);

/** Reads a scenario that comes with this package, by its name. */
export async function loadScenario(name: string): Promise<Scenario> {
  const text = await readFile(new URL(`${name}.json`, SCENARIOS), 'utf8');
  const checked = checkShape(scenarioSchema, JSON.parse(text));
  if (checked.ok) return checked.value;
  throw new TypeError(checked.faults.map((f) => `${f.path}: ${f.expected}`).join('; '));
}
