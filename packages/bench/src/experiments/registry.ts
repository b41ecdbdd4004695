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

/** Experiments that are more than a scenario under load. */
const codedExperiments: readonly Experiment[] = [
  fleetSlopesExperiment,
  forwardingExperiment,
  rollingReplaceExperiment,
  tableEditExperiment,
  tableFleetExperiment,
  ...faultExperiments,
];

/** Lists every experiment, by name. */
export async function listExperiments(): Promise<Experiment[]> {
  const scenarios = await Promise.all((await listScenarios()).map((name) => loadScenario(name)));
  const described = scenarios.map((scenario) => new ScenarioExperiment(scenario));
  return [...described, ...codedExperiments].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/** Finds an experiment by its name. */
export async function findExperiment(name: string): Promise<Experiment | undefined> {
  return (await listExperiments()).find((experiment) => experiment.name === name);
}

/** Returns the name nearest to one that is not there, for its length. */
export function nearestName(name: string, names: readonly string[]): string | undefined {
  const apart = (other: string) => distance(name, other) / Math.max(name.length, other.length);
  return [...names].sort((a, b) => apart(a) - apart(b))[0];
}
