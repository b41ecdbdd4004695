import type { Model } from '../types/index.js';
import type { ModelReplicas, OrdersState } from './state.js';

/** A model needs more engines when the utilization of those it has is above this. */
const HIGH_UTILIZATION = 0.8;

/** A model can give up an engine when the utilization of the others would be below this. */
const LOW_UTILIZATION = 0.5;

/** How long demand must call for a change before it is made. */
const CHANGE_HOLD_MS = 10_000;

/** Demand for a model and the capacity of one engine, both in tokens per second. */
export interface ModelDemand {
  readonly tokensPerSecond: number;
  readonly tokensPerSecondPerEngine: number;
}

function clampReplicas(model: Model, replicas: number): number {
  return Math.max(model.minReplicas, Math.min(model.maxReplicas, replicas));
}

/** Returns whether demand lies in the band that the number of engines suits. */
function isWithinBand(replicas: number, demand: ModelDemand): boolean {
  const upper = replicas * demand.tokensPerSecondPerEngine * HIGH_UTILIZATION;
  const lower = (replicas - 1) * demand.tokensPerSecondPerEngine * LOW_UTILIZATION;
  return demand.tokensPerSecond <= upper && demand.tokensPerSecond >= lower;
}

function computeReplicas(demand: ModelDemand): number {
  return Math.ceil(demand.tokensPerSecond / (demand.tokensPerSecondPerEngine * HIGH_UTILIZATION));
}

function getOrCreateReplicas(state: OrdersState, model: Model, current: number): ModelReplicas {
  let known = state.models.get(model.id);
  if (known === undefined) {
    known = { replicas: clampReplicas(model, current), outOfBandSince: null };
    state.models.set(model.id, known);
  }
  return known;
}

/**
 * Updates and returns the number of engines that a model should have; `current` is the number that
 * have it. The utilization band and the hold time keep oscillating demand from loading and
 * unloading models in turn.
 */
export function updateReplicas(
  state: OrdersState,
  model: Model,
  current: number,
  demand: ModelDemand,
  now: number,
): number {
  const known = getOrCreateReplicas(state, model, current);
  known.replicas = clampReplicas(model, known.replicas);
  const wanted = clampReplicas(model, computeReplicas(demand));
  if (wanted === known.replicas || isWithinBand(known.replicas, demand)) {
    known.outOfBandSince = null;
    return known.replicas;
  }
  known.outOfBandSince ??= now;
  if (now - known.outOfBandSince >= CHANGE_HOLD_MS) {
    known.replicas = wanted;
    known.outOfBandSince = null;
  }
  return known.replicas;
}
