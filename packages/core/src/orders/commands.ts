import type { OrderEnd } from '../types/index.js';
import { ordersOf, type OrdersState } from './state.js';

const MS_PER_SECOND = 1000;

/** Longest credit that a VM saves up at the weight store, so that a burst stays small. */
const MOST_CREDIT_SECONDS = 60;

/** Takes in what an engine has loaded, unless something later is known. */
export function recordLoaded(
  state: OrdersState,
  engineId: string,
  models: readonly string[],
  measuredAt: number,
): void {
  const engine = ordersOf(state, engineId);
  if (measuredAt < engine.loadedAt) return;
  if (engine.loaded?.join() !== models.join()) state.members.clear();
  engine.loaded = models;
  engine.loadedAt = measuredAt;
  const { ordered } = engine;
  if (ordered === null || measuredAt < engine.orderedAt) return;
  const isRead = ordered.length === models.length && ordered.every((id) => models.includes(id));
  if (!isRead) return;
  engine.ordered = null;
  engine.failures = 0;
  state.members.clear();
}

/** Notes that an order was given. */
export function recordOrder(
  state: OrdersState,
  engineId: string,
  models: readonly string[],
  now: number,
): void {
  const engine = ordersOf(state, engineId);
  state.members.clear();
  engine.ordered = models;
  engine.orderedAt = now;
  engine.changedAt = now;
  engine.confirmingSince = null;
}

/** Takes in how an engine answered an order; only a report says that it was carried out. */
export function recordOrderEnd(state: OrdersState, engineId: string, end: OrderEnd): void {
  const engine = ordersOf(state, engineId);
  if (end === 'applied') return;
  engine.failures += 1;
  state.members.clear();
  // Unknown: the order may be under way, so it stands until a report or the retry time.
  if (end !== 'unknown') engine.ordered = null;
}

/** Forgets orders under way: after a pause all of them may be another owner's business. */
export function forgetOrders(state: OrdersState): void {
  state.members.clear();
  for (const engine of state.engines.values()) {
    engine.ordered = null;
    engine.confirmingSince = null;
  }
}

/** Adds the credit that this VM's share of the weight store's rate has earned. */
export function earnLoadBudget(state: OrdersState, bytesPerSecond: number, now: number): void {
  const elapsedMs = state.budgetAt === 0 ? 0 : Math.max(0, now - state.budgetAt);
  state.budgetAt = now;
  const most = bytesPerSecond * MOST_CREDIT_SECONDS;
  state.loadBudget = Math.min(
    most,
    state.loadBudget + (bytesPerSecond * elapsedMs) / MS_PER_SECOND,
  );
}

/** Takes the bytes of a load; false, and nothing taken, while earlier loads are not paid off. */
export function spendLoadBudget(state: OrdersState, bytes: number): boolean {
  if (state.loadBudget < 0) return false;
  state.loadBudget -= bytes;
  return true;
}
