import { rankMembers } from '../shared/index.js';

/** A managed engine and the model that it has, or has been ordered to load. */
export interface ManagedEngine {
  readonly id: string;
  readonly model: string | null;
}

/** A model and the number of engines that it should have. */
export interface WantedReplicas {
  readonly model: string;
  readonly replicas: number;
}

/** Reduces the numbers of replicas to the engines that there are. */
function fitToEngineCount(wanted: readonly WantedReplicas[], engines: number): Map<string, number> {
  const fitted = new Map(wanted.map(({ model }) => [model, 0]));
  let remaining = engines;
  // One engine to each model in turn, so that every model shares a shortage.
  for (let round = 1; remaining > 0; round += 1) {
    const unmet = wanted.filter(({ replicas }) => replicas >= round);
    if (unmet.length === 0) break;
    for (const { model } of unmet.slice(0, remaining)) fitted.set(model, round);
    remaining -= unmet.length;
  }
  return fitted;
}

/**
 * Assigns models to engines and returns the model by engine id. Engines keep their model while it
 * is wanted; rendezvous hashing chooses the others, so VMs with the same input make the same plan.
 */
export function assignModels(
  engines: readonly ManagedEngine[],
  wanted: readonly WantedReplicas[],
): Map<string, string> {
  const sortedWanted = [...wanted].sort((a, b) => (a.model < b.model ? -1 : 1));
  const unassignedReplicas = fitToEngineCount(sortedWanted, engines.length);
  const plan = new Map<string, string>();
  const assign = (engine: ManagedEngine, model: string) => {
    plan.set(engine.id, model);
    unassignedReplicas.set(model, unassignedReplicas.get(model)! - 1);
  };
  for (const { model } of sortedWanted) {
    const holders = engines.filter((engine) => engine.model === model);
    rankMembers(model, holders)
      .slice(0, unassignedReplicas.get(model))
      .forEach((engine) => assign(engine, model));
  }
  for (const { model } of sortedWanted) {
    const free = engines.filter((engine) => !plan.has(engine.id));
    rankMembers(model, free)
      .slice(0, unassignedReplicas.get(model))
      .forEach((engine) => assign(engine, model));
  }
  return plan;
}
