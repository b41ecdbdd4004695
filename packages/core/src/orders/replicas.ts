import type { Model } from '../types/index.js';
import type { ModelReplicas, OrdersState } from './state.js';

/** Above this use of its engines a model asks for more. */
const HIGH_USE = 0.8;

/** Below this use of what would be left, a model can do with fewer. */
const LOW_USE = 0.5;

/** How long demand must ask for a change before it is made. */
const HOLD_MS = 10_000;

/** Demand of a model, and what one engine serves, both in tokens per second. */
export interface ModelDemand {
  readonly tokensPerSecond: number;
  readonly perEngine: number;
}

function clamp(model: Model, replicas: number): number {
  return Math.max(model.minReplicas, Math.min(model.maxReplicas, replicas));
}

function isContent(replicas: number, demand: ModelDemand): boolean {
  const most = replicas * demand.perEngine * HIGH_USE;
  const least = (replicas - 1) * demand.perEngine * LOW_USE;
  return demand.tokensPerSecond <= most && demand.tokensPerSecond >= least;
}

function wantedReplicas(demand: ModelDemand): number {
  return Math.ceil(demand.tokensPerSecond / (demand.perEngine * HIGH_USE));
}

function replicasOf(state: OrdersState, model: Model, current: number): ModelReplicas {
  let known = state.models.get(model.id);
  if (known === undefined) {
    known = { replicas: clamp(model, current), discontentSince: null };
    state.models.set(model.id, known);
  }
  return known;
}

/**
 * Returns how many engines a model should have. A band between the two uses and a hold time
 * keep a demand that sways from loading and unloading in turn.
 */
export function updateReplicas(
  state: OrdersState,
  model: Model,
  current: number,
  demand: ModelDemand,
  now: number,
): number {
  const known = replicasOf(state, model, current);
  known.replicas = clamp(model, known.replicas);
  const wanted = clamp(model, wantedReplicas(demand));
  if (wanted === known.replicas || isContent(known.replicas, demand)) {
    known.discontentSince = null;
    return known.replicas;
  }
  known.discontentSince ??= now;
  if (now - known.discontentSince >= HOLD_MS) {
    known.replicas = wanted;
    known.discontentSince = null;
  }
  return known.replicas;
}
