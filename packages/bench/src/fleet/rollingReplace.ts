import { createFleet } from '../createFleet.js';
import type { Experiment, ExperimentOptions, ExperimentResult } from '../experiments/experiment.js';
import { generateLoad } from '../generateLoad.js';
import { loadScenario } from '../loadScenario.js';
import type { Scenario } from '../scenario.js';
import type { Sample } from '../sendRequest.js';
import { summarize } from '../summarize.js';
import { checkTargets } from '../targets.js';
import { DRAIN_GRACE_SECONDS, VmReplacer } from './vmReplacer.js';

const ROUTERS = 6;
const LOAD_SECONDS = 24;

/** Fraction of the demo's load, low enough that losses come from the replacement, not overload. */
const LOAD_FRACTION = 0.4;

interface Outcome {
  readonly requests: number;
  readonly goodput: number;
  /** Number of answers that began and did not end whole, or of requests that got no answer. */
  readonly cut: number;
  /** Number of requests refused because the VM was leaving; their callers know they did not run. */
  readonly refused: number;
  /** Number of VMs replaced. */
  readonly replaced: number;
  /** Numbers of requests that were not answered whole, by error code. */
  readonly errors: Readonly<Record<string, number>>;
}

function countErrors(samples: readonly Sample[]): Record<string, number> {
  const errors: Record<string, number> = {};
  samples
    .filter(({ whole }) => !whole)
    .forEach(({ error, status }) => {
      const code = error?.code ?? `status_${status}`;
      errors[code] = (errors[code] ?? 0) + 1;
    });
  return errors;
}

function isCut({ status, whole, error }: Sample): boolean {
  return !whole && (status === 200 || (status === 0 && error === null));
}

/** Replaces every VM of the fleet; as new ones are appended, the first is always an old one. */
async function replaceEveryVm(replacer: VmReplacer): Promise<number> {
  for (let index = 0; index < ROUTERS; index += 1) await replacer.replace(0);
  return ROUTERS;
}

async function measureUnderLoad(
  scenario: Scenario,
  seed: number,
  replacesVms: boolean,
): Promise<Outcome> {
  const fleet = await createFleet(scenario, seed, 'filbertlatch', DRAIN_GRACE_SECONDS);
  const replacer = new VmReplacer(fleet, scenario);
  const load = generateLoad(
    scenario,
    (random) => {
      const up = replacer.vms.filter((vm) => vm.isUp);
      return up[Math.floor(random.next() * up.length)]!.router.callerUrl;
    },
    seed,
  );
  const replaced = replacesVms ? await replaceEveryVm(replacer) : 0;
  const samples = await load;
  const { goodput } = summarize(fleet.table, fleet, samples);
  await replacer.stop();
  await fleet.stop();
  return {
    requests: samples.length,
    goodput,
    cut: samples.filter(isCut).length,
    refused: samples.filter(({ error }) => error?.code === 'leaving').length,
    replaced,
    errors: countErrors(samples),
  };
}

/** Replaces every VM of a fleet under load, one after another, and measures what is lost. */
export const rollingReplaceExperiment: Experiment = {
  name: 'rolling-replace',
  summary:
    'Six VMs replaced one after another under load, compared with the same load undisturbed.',
  async run({ seed, write }: ExperimentOptions): Promise<ExperimentResult> {
    const demo = await loadScenario('demo');
    const loads = demo.loads.map((load) => ({
      ...load,
      ratePerSecond: load.ratePerSecond * LOAD_FRACTION,
    }));
    const scenario = { ...demo, loads, routers: ROUTERS, seconds: LOAD_SECONDS };
    const still = await measureUnderLoad(scenario, seed, false);
    const rolled = await measureUnderLoad(scenario, seed, true);
    const figures = {
      'still.goodput': still.goodput,
      goodput: rolled.goodput,
      goodputLost: still.goodput - rolled.goodput,
      cutAnswers: rolled.cut,
      refusedLeaving: rolled.refused,
      requests: rolled.requests,
      replacedVms: rolled.replaced,
    };
    write(`still  ${JSON.stringify(still.errors)}`);
    write(`rolled ${JSON.stringify(rolled.errors)}`);
    Object.entries(figures).forEach(([name, value]) => write(`${name.padEnd(16)} ${value}`));
    const targets = checkTargets(
      [
        { figure: 'cutAnswers', bound: 'at-most', value: 0, factor: 1, plus: 0 },
        { figure: 'goodputLost', bound: 'at-most', value: 0.01, factor: 1, plus: 0 },
        { figure: 'replacedVms', bound: 'at-least', value: ROUTERS, factor: 1, plus: 0 },
      ],
      figures,
      [],
    );
    return { figures, targets };
  },
};
