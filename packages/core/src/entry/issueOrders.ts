import { listClassLoads } from '../admission/index.js';
import { countLiveVms, isEndpointLeaving, isAwaitingRecheck } from '../membership/index.js';
import {
  assignModels,
  increaseLoadBudget,
  findEngineOwner,
  listServedModels,
  getOrCreateEngineOrders,
  recordOrder,
  spendLoadBudget,
  stripVersion,
  updateReplicas,
  type EngineOrders,
} from '../orders/index.js';
import type { TableView } from '../table/index.js';
import type { ClassLoad, Engine, Order } from '../types/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { increment } from './counters.js';

/** Minimum interval between two assignments of models to engines. */
const PLAN_INTERVAL_MS = 1000;

/** Time in which a queue should clear: the divisor that turns its waiting tokens into a rate. */
const QUEUE_CLEAR_SECONDS = 10;

/** Age after which a peer's demand is ignored. */
const MAX_DEMAND_AGE_MS = 15_000;

/** Age after which an order whose completion was not reported is issued again. */
const ORDER_RETRY_MS = 30_000;

/** Minimum time between two changes of one engine, which allows at most 60 loads an hour. */
const MIN_CHANGE_INTERVAL_MS = 60_000;

/** Wait after a fetch of the VM list before an engine that does not check fencing is ordered. */
const LIST_SETTLE_MS = 10_000;

/** Output rate that an engine is assumed to serve per slot. */
const TOKENS_PER_SECOND_PER_SLOT = 30;

/** Fraction of a model's replicas that keep serving while others change. */
const MIN_SERVING_FRACTION = 2 / 3;

function tokensPerSecondOf(load: ClassLoad): number {
  return load.servedTokensPerSecond + load.waitingTokens / QUEUE_CLEAR_SECONDS;
}

function sumDemand(core: Core, now: number): Map<string, number> {
  const demand = new Map<string, number>();
  const add = (load: ClassLoad) => {
    demand.set(load.pool, (demand.get(load.pool) ?? 0) + tokensPerSecondOf(load));
  };
  listClassLoads(core.admission, now).forEach(add);
  for (const member of core.membership.members.values()) {
    if (now - member.heardAt <= MAX_DEMAND_AGE_MS) member.heartbeat?.loads.forEach(add);
  }
  return demand;
}

/** Returns the model that an engine serves or is loading, without its version; null if none. */
function modelOf(core: Core, engine: Engine): string | null {
  const orders = getOrCreateEngineOrders(core.orders, engine.id);
  // A load in progress counts as done, or each plan would order it again on another engine.
  const name = (orders.ordered ?? orders.loaded ?? engine.models)[0];
  return name === undefined ? null : stripVersion(name);
}

function planModels(core: Core, view: TableView, now: number): Map<string, string> {
  const usable = view.managed.filter(
    (engine) => engine.state === 'live' && !isEndpointLeaving(core.membership, engine.id),
  );
  const engines = usable.map((engine) => ({ id: engine.id, model: modelOf(core, engine) }));
  const demand = sumDemand(core, now);
  const slots = usable.reduce((sum, engine) => sum + engine.slots, 0) / Math.max(1, usable.length);
  const wanted = [...view.models.values()].map((model) => {
    const current = engines.filter((engine) => engine.model === model.id).length;
    const load = {
      tokensPerSecond: demand.get(`model:${model.id}`) ?? 0,
      tokensPerSecondPerEngine: slots * TOKENS_PER_SECOND_PER_SLOT,
    };
    const replicas = updateReplicas(core.orders, model, current, load, now);
    return { model: model.id, replicas };
  });
  return assignModels(engines, wanted);
}

function isBusy(engine: EngineOrders, now: number): boolean {
  const isOrderPending = engine.ordered !== null && now - engine.orderedAt < ORDER_RETRY_MS;
  const hasChangedRecently =
    engine.changedAt > 0 && now - engine.changedAt < MIN_CHANGE_INTERVAL_MS;
  return isOrderPending || (hasChangedRecently && engine.ordered === null);
}

/**
 * Says whether an engine may be ordered. One that does not check fencing needs a VM list received
 * since the first call, which requests it, and a wait of `LIST_SETTLE_MS`.
 */
function isOwnershipConfirmed(core: Core, engine: Engine, now: number, actions: Action[]): boolean {
  if (engine.fencing === 'checked') return true;
  const orders = getOrCreateEngineOrders(core.orders, engine.id);
  const { listReceivedAt } = core.membership;
  if (orders.awaitingListSince === null) {
    orders.awaitingListSince = now;
    actions.push({ kind: 'fetch-list', peer: null });
    return false;
  }
  return (
    now - orders.awaitingListSince >= LIST_SETTLE_MS && listReceivedAt > orders.awaitingListSince
  );
}

function issueOrder(
  core: Core,
  view: TableView,
  engine: Engine,
  model: string,
  now: number,
  actions: Action[],
): void {
  const row = view.models.get(model);
  if (row === undefined || !isOwnershipConfirmed(core, engine, now, actions)) return;
  if (!spendLoadBudget(core.orders, row.weightBytes)) return;
  // Never below the clock, so that a restarted owner continues above its earlier numbers.
  core.orders.counter = Math.max(core.orders.counter + 1, Math.floor(now));
  const listRevision = core.membership.list?.revision ?? 0;
  const order: Order = {
    endpointId: engine.id,
    fencing: [listRevision, view.revision, core.orders.counter],
    models: [`${row.id}@${row.version}`],
    adapters: row.adapters,
    role: 'mixed',
  };
  recordOrder(core.orders, engine.id, order.models, now);
  increment(core, 'orders');
  actions.push({ kind: 'order', endpoint: engine, order });
}

function accrueLoadBudget(core: Core, now: number): void {
  const { weightsBytesPerSecond } = core.orders;
  increaseLoadBudget(core.orders, weightsBytesPerSecond / countLiveVms(core.membership), now);
}

/** Says whether enough other engines serve the engine's current model while it changes. */
function canBeSpared(core: Core, view: TableView, engine: Engine): boolean {
  const [current] = listServedModels(core.orders, engine);
  if (current === undefined) return true;
  const serving = view.managed.filter(
    (other) =>
      listServedModels(core.orders, other).includes(current) &&
      getOrCreateEngineOrders(core.orders, other.id).ordered === null,
  ).length;
  const replicas = core.orders.models.get(current)?.replicas ?? 0;
  return serving - 1 >= Math.floor(replicas * MIN_SERVING_FRACTION);
}

/** Orders the engines that this VM owns to load models according to the fleet's demand. */
export function issueOrders(core: Core, now: number, actions: Action[]): void {
  const { view } = core.table;
  const { list, leaving, self } = core.membership;
  if (view === null || list === null || view.managed.length === 0) return;
  if (leaving || isAwaitingRecheck(core.membership)) return;
  if (now - core.orders.plannedAt < PLAN_INTERVAL_MS) return;
  core.orders.plannedAt = now;
  accrueLoadBudget(core, now);
  const plan = planModels(core, view, now);
  for (const engine of view.managed) {
    const model = plan.get(engine.id);
    const orders = getOrCreateEngineOrders(core.orders, engine.id);
    if (model === undefined || findEngineOwner(list, engine)?.id !== self.id) continue;
    // Before its first report it is unknown what the engine has loaded.
    if (orders.loaded === null || isBusy(orders, now)) continue;
    const wanted = `${model}@${view.models.get(model)?.version ?? ''}`;
    if (orders.loaded.length === 1 && orders.loaded[0] === wanted) continue;
    if (canBeSpared(core, view, engine)) issueOrder(core, view, engine, model, now, actions);
  }
}
