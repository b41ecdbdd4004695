import { distance } from 'fastest-levenshtein';

import { faultExperiments } from '../faults/index.js';
import {
  fleetSlopesExperiment,
  rollingReplaceExperiment,
  tableEditExperiment,
  tableFleetExperiment,
} from '../fleet/index.js';
import { forwardingExperiment } from '../forwarding/index.js';
import { listScenarios, loadScenario } from '../loadScenario.js';
import type { Experiment } from './experiment.js';
import { ScenarioExperiment } from './scenarioExperiment.js';

/** Experiments that a scenario file cannot describe. */
const codedExperiments: readonly Experiment[] = [
  fleetSlopesExperiment,
  forwardingExperiment,
  rollingReplaceExperiment,
  tableEditExperiment,
  tableFleetExperiment,
  ...faultExperiments,
];

/** Lists all experiments, sorted by name. */
export async function listExperiments(): Promise<Experiment[]> {
  const scenarios = await Promise.all((await listScenarios()).map((name) => loadScenario(name)));
  const described = scenarios.map((scenario) => new ScenarioExperiment(scenario));
  return [...described, ...codedExperiments].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/** Returns the experiment of a name; undefined if there is none. */
export async function findExperiment(name: string): Promise<Experiment | undefined> {
  return (await listExperiments()).find((experiment) => experiment.name === name);
}

/** Returns the most similar of `names`, by edit distance relative to the longer name. */
export function nearestName(name: string, names: readonly string[]): string | undefined {
  const distanceTo = (other: string) => distance(name, other) / Math.max(name.length, other.length);
  return [...names].sort((a, b) => distanceTo(a) - distanceTo(b))[0];
}
