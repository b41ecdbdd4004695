import { baselineNames } from '../baseline/index.js';
import { collectRunFigures } from '../collectRunFigures.js';
import type { Policy } from '../createFleet.js';
import { formatRun, formatTargets } from '../formatSummary.js';
import { isSweep, plotRun, plotSweep } from '../plots/index.js';
import { runScenario } from '../runScenario.js';
import { applyVariant, type Scenario } from '../scenario.js';
import { checkTargets, type Figures } from '../targets.js';
import type { Experiment, ExperimentOptions, ExperimentResult } from './experiment.js';

function listVariants(scenario: Scenario): { name: string; scenario: Scenario }[] {
  if (scenario.variants.length === 0) return [{ name: '', scenario }];
  return scenario.variants.map((variant) => ({
    name: variant.name,
    scenario: applyVariant(scenario, variant),
  }));
}

/** Returns the prefix of figure names: the baseline, if it is one, and the variant, if there is one. */
function figurePrefixOf(policy: Policy, variant: string): string {
  const owner = policy === 'filbertlatch' ? '' : `${policy}.`;
  return variant === '' ? owner : `${owner}${variant}.`;
}

/** An experiment that runs the scenario of a file, once for each policy and variant. */
export class ScenarioExperiment implements Experiment {
  readonly #scenario: Scenario;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
  }

  get name(): string {
    return this.#scenario.name;
  }

  get summary(): string {
    return this.#scenario.summary;
  }

  async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const figures: Record<string, number> = {};
    for (const policy of options.policies) {
      for (const variant of listVariants(this.#scenario)) {
        Object.assign(figures, await this.#runOnce(policy, variant, options));
      }
    }
    if (options.plotDirectory !== null && isSweep(this.#scenario)) {
      const lines = options.policies.map((name) => ({ name, prefix: figurePrefixOf(name, '') }));
      await plotSweep(this.#scenario, figures, lines, options.plotDirectory);
    }
    const targets = checkTargets(this.#scenario.targets, figures, baselineNames);
    // Targets bound the figures of filbertlatch only.
    const hasTargets = options.policies.includes('filbertlatch') && targets.length > 0;
    if (hasTargets) options.write(formatTargets(targets));
    return { figures, targets };
  }

  async #runOnce(
    policy: Policy,
    { name, scenario }: { name: string; scenario: Scenario },
    options: ExperimentOptions,
  ): Promise<Figures> {
    const run = await runScenario(scenario, options.seed, policy);
    const title = [this.name, name, policy].filter((part) => part !== '').join(' / ');
    options.write(formatRun(run, title));
    if (options.plotDirectory !== null) {
      await plotRun(run, options.plotDirectory, title.replaceAll(' / ', '-'));
    }
    return collectRunFigures(run, figurePrefixOf(policy, name));
  }
}
