import { rankMembers } from '../shared/index.js';

/** An engine that the fleet manages, and the model that it has now. */
export interface ManagedEngine {
  readonly id: string;
  readonly model: string | null;
}

/** A model and how many engines it should have. */
export interface WantedReplicas {
  readonly model: string;
  readonly replicas: number;
}

function fitToEngines(wanted: readonly WantedReplicas[], engines: number): Map<string, number> {
  const fitted = new Map(wanted.map(({ model }) => [model, 0]));
  let left = engines;
  // One engine to each model in turn, so that a shortage is shared and none gets nothing.
  for (let round = 1; left > 0; round += 1) {
    const asking = wanted.filter(({ replicas }) => replicas >= round);
    if (asking.length === 0) break;
    for (const { model } of asking.slice(0, left)) fitted.set(model, round);
    left -= asking.length;
  }
  return fitted;
}

/**
 * Assigns a model to each engine. Engines keep the model they have while it is wanted, and
 * the rest follow rendezvous hashing, so VMs that see the same come to the same plan.
 */
export function assignModels(
  engines: readonly ManagedEngine[],
  wanted: readonly WantedReplicas[],
): Map<string, string> {
  const inOrder = [...wanted].sort((a, b) => (a.model < b.model ? -1 : 1));
  const left = fitToEngines(inOrder, engines.length);
  const plan = new Map<string, string>();
  const give = (engine: ManagedEngine, model: string) => {
    plan.set(engine.id, model);
    left.set(model, left.get(model)! - 1);
  };
  for (const { model } of inOrder) {
    const holders = engines.filter((engine) => engine.model === model);
    rankMembers(model, holders)
      .slice(0, left.get(model))
      .forEach((engine) => give(engine, model));
  }
  for (const { model } of inOrder) {
    const free = engines.filter((engine) => !plan.has(engine.id));
    rankMembers(model, free)
      .slice(0, left.get(model))
      .forEach((engine) => give(engine, model));
  }
  return plan;
}
