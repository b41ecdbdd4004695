import type { OrderEnd } from '../types/index.js';
import { getOrCreateEngineOrders, type OrdersState } from './state.js';

const MS_PER_SECOND = 1000;

/** Largest load budget, in seconds of the VM's rate; bounds a burst on the weight store. */
const MAX_BUDGET_SECONDS = 60;

/** Records the models that an engine reports as loaded, unless a later report is known. */
export function recordLoadedModels(
  state: OrdersState,
  engineId: string,
  models: readonly string[],
  measuredAt: number,
): void {
  const engine = getOrCreateEngineOrders(state, engineId);
  if (measuredAt < engine.reportedAt) return;
  if (engine.loaded?.join() !== models.join()) state.members.clear();
  engine.loaded = models;
  engine.reportedAt = measuredAt;
  const { ordered } = engine;
  if (ordered === null || measuredAt < engine.orderedAt) return;
  const isConfirmed =
    ordered.length === models.length && ordered.every((id) => models.includes(id));
  if (!isConfirmed) return;
  engine.ordered = null;
  engine.failures = 0;
  state.members.clear();
}

/** Records that an order was given. */
export function recordOrder(
  state: OrdersState,
  engineId: string,
  models: readonly string[],
  now: number,
): void {
  const engine = getOrCreateEngineOrders(state, engineId);
  state.members.clear();
  engine.ordered = models;
  engine.orderedAt = now;
  engine.changedAt = now;
  engine.awaitingListSince = null;
}

/** Records an engine's answer to an order. An applied order is open until a report confirms it. */
export function recordOrderEnd(state: OrdersState, engineId: string, end: OrderEnd): void {
  const engine = getOrCreateEngineOrders(state, engineId);
  if (end === 'applied') return;
  engine.failures += 1;
  state.members.clear();
  // With an unknown end the order may be in progress: it stays until a report or the retry time.
  if (end !== 'unknown') engine.ordered = null;
}

/** Clears open orders: after a pause of this VM each engine may have another owner. */
export function clearOpenOrders(state: OrdersState): void {
  state.members.clear();
  for (const engine of state.engines.values()) {
    engine.ordered = null;
    engine.awaitingListSince = null;
  }
}

/** Adds to the load budget what this VM's share of the weight store's rate has earned. */
export function increaseLoadBudget(state: OrdersState, bytesPerSecond: number, now: number): void {
  const elapsedMs = state.budgetUpdatedAt === 0 ? 0 : Math.max(0, now - state.budgetUpdatedAt);
  state.budgetUpdatedAt = now;
  const maxBudget = bytesPerSecond * MAX_BUDGET_SECONDS;
  state.loadBudget = Math.min(
    maxBudget,
    state.loadBudget + (bytesPerSecond * elapsedMs) / MS_PER_SECOND,
  );
}

/**
 * Takes the bytes of a load from the budget. Returns false and takes nothing while earlier loads
 * have overdrawn it.
 */
export function spendLoadBudget(state: OrdersState, bytes: number): boolean {
  if (state.loadBudget < 0) return false;
  state.loadBudget -= bytes;
  return true;
}
