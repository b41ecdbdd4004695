import { setTimeout as sleep } from 'node:timers/promises';

import { createEngine, type StandInEngine } from '@filbertlatch/standins';

import type { EngineGroup } from './workerMessages.js';

/** Starts engines one after another, so that their steps are as unaligned as those of separate VMs. */
export async function startEngines(group: EngineGroup): Promise<StandInEngine[]> {
  const engines: StandInEngine[] = [];
  for (let index = 0; index < group.count; index += 1) {
    const engine = await createEngine({
      id: `engine-${group.firstId + index}`,
      models: [group.model],
      slots: group.slots,
      stepMs: group.stepMs,
      prefillTokensPerSecond: 1_000_000,
      seed: group.seed + index,
    });
    engine.switches.stampsEvents = true;
    engines.push(engine);
    await sleep(group.stepMs / group.count);
  }
  return engines;
}
