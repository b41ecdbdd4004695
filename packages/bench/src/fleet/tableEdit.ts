import { setTimeout as sleep } from 'node:timers/promises';

import { createFleet, type Fleet } from '../createFleet.js';
import type { Experiment, ExperimentOptions, ExperimentResult } from '../experiments/experiment.js';
import { loadScenario } from '../loadScenario.js';
import { checkTargets } from '../targets.js';

const ROUTERS = 8;
const EDITS = 20;
const POLL_INTERVAL_MS = 5;
const EDIT_TIMEOUT_MS = 12_000;
const MS_PER_SECOND = 1000;

/** Publishes an edit and returns the seconds until each router has it; none for one that is late. */
async function timeEdit(fleet: Fleet, revision: number): Promise<number[]> {
  const { table, platform, routers } = fleet;
  const [first, ...others] = table.classes;
  const published = performance.now();
  platform.publishTable({
    ...table,
    revision,
    classes: [{ ...first!, weight: revision }, ...others],
  });
  const seconds = new Map<number, number>();
  while (seconds.size < routers.length && performance.now() - published < EDIT_TIMEOUT_MS) {
    await sleep(POLL_INTERVAL_MS);
    const elapsed = (performance.now() - published) / MS_PER_SECOND;
    routers.forEach((router, index) => {
      if (router.revisions().table >= revision && !seconds.has(index)) seconds.set(index, elapsed);
    });
  }
  return [...seconds.values()];
}

/** Edits the table of a fleet of eight VMs and measures how long each VM takes to have it in force. */
export const tableEditExperiment: Experiment = {
  name: 'table-edit',
  summary: 'Twenty table edits at eight VMs: time until each VM has each in force.',
  async run({ seed, write }: ExperimentOptions): Promise<ExperimentResult> {
    const scenario = { ...(await loadScenario('demo')), routers: ROUTERS };
    const fleet = await createFleet(scenario, seed);
    const seconds: number[] = [];
    for (let edit = 0; edit < EDITS; edit += 1) seconds.push(...(await timeEdit(fleet, 2 + edit)));
    await fleet.stop();
    seconds.sort((a, b) => a - b);
    const figures = {
      medianSeconds: seconds[Math.floor(seconds.length / 2)] ?? Infinity,
      worstSeconds: seconds.at(-1) ?? Infinity,
      reached: seconds.length,
    };
    Object.entries(figures).forEach(([name, value]) => write(`${name.padEnd(16)} ${value}`));
    const targets = checkTargets(
      [
        { figure: 'worstSeconds', bound: 'at-most', value: 12, factor: 1, plus: 0 },
        { figure: 'reached', bound: 'at-least', value: ROUTERS * EDITS, factor: 1, plus: 0 },
      ],
      figures,
      [],
    );
    return { figures, targets };
  },
};
