import type { Class } from '@filbertlatch/core';

import { applyFaults } from './applyFaults.js';
import { createBalancer } from './balancer.js';
import { createFleet, type Fleet, type Policy } from './createFleet.js';
import { generateLoad } from './generateLoad.js';
import { measureLimitUse, type LimitUse } from './measureLimitUse.js';
import { LoopMeter, type LoopUse } from './loopMeter.js';
import type { Scenario } from './scenario.js';
import type { Sample } from './sendRequest.js';
import { findLeastShares, type LeastShare } from './findLeastShares.js';
import { summarize, type Summary } from './summarize.js';

/** Time for which a caller still waits after its window has passed. */
const PATIENCE_GRACE_MS = 100;

/** Results of one run of a scenario. */
export interface Run {
  readonly policy: Policy;
  readonly summary: Summary;
  readonly shares: readonly LeastShare[];
  readonly limits: readonly LimitUse[];
  readonly loop: LoopUse;
  readonly samples: readonly Sample[];
  readonly classes: readonly Class[];
}

function createEntryBalancer(scenario: Scenario, fleet: Fleet) {
  const weights = scenario.entryWeights ?? [];
  return createBalancer(
    fleet.entries.map((entry, index) => ({
      url: entry.url,
      weight: weights[index] ?? 1,
      isUp: () => entry.isUp(),
    })),
  );
}

async function sendLoad(scenario: Scenario, fleet: Fleet, seed: number): Promise<Sample[]> {
  const windows = new Map(fleet.table.classes.map((row) => [row.id, row.target.wholeMs]));
  // Callers leave soon after the window of their class, as a later answer is of no use to them.
  const patience = (classId: string) => windows.get(classId)! + PATIENCE_GRACE_MS;
  const stop = new AbortController();
  const faults = applyFaults(fleet, scenario.faults, stop.signal).catch((error: unknown) => {
    if (!stop.signal.aborted) throw error;
  });
  const load = generateLoad(
    scenario,
    createEntryBalancer(scenario, fleet),
    seed,
    () => {},
    patience,
  );
  const samples = await Promise.race([load, faults.then(() => load)]);
  stop.abort();
  await faults;
  return samples;
}

/** Runs a scenario once under one policy. */
export async function runScenario(scenario: Scenario, seed: number, policy: Policy): Promise<Run> {
  const fleet = await createFleet(scenario, seed, policy);
  const meter = new LoopMeter();
  const samples = await sendLoad(scenario, fleet, seed);
  const loop = meter.stop();
  const span = { from: scenario.warmupSeconds, to: scenario.seconds };
  const accounts = new Map(scenario.loads.map((load) => [load.class, load.account]));
  const run: Run = {
    policy,
    summary: summarize(fleet.table, fleet, samples, span),
    shares: findLeastShares(fleet.table.classes, samples, scenario.seconds),
    limits: fleet.table.limits.map((limit) =>
      measureLimitUse(limit, samples, (sample) => accounts.get(sample.class)!, span),
    ),
    loop,
    samples,
    classes: fleet.table.classes,
  };
  await fleet.stop();
  return run;
}
