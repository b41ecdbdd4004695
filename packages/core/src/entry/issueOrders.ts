import { listClassLoads } from '../admission/index.js';
import { countVms, isEndpointLeaving, isStale } from '../membership/index.js';
import {
  assignModels,
  earnLoadBudget,
  findOwner,
  listServedModels,
  ordersOf,
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

const PLAN_INTERVAL_MS = 1000;

/** A queue is wanted gone in this time, so its tokens ask for so much rate. */
const QUEUE_CLEAR_SECONDS = 10;

/** What a peer said of its demand counts this long. */
const MAX_DEMAND_AGE_MS = 15_000;

/** An order without a report after this time is given again. */
const ORDER_RETRY_MS = 30_000;

/** Least time between two changes of one engine; bounds its loads to 60 an hour. */
const MIN_CHANGE_INTERVAL_MS = 60_000;

/** How long a list must have been known before an engine that checks no fencing is ordered. */
const LIST_SETTLE_MS = 10_000;

/** Tokens per second that an engine is taken to serve for each of its slots. */
const TOKENS_PER_SECOND_PER_SLOT = 30;

/** Part of a model's engines that keep serving while others change their version. */
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

function modelOf(core: Core, engine: Engine): string | null {
  const orders = ordersOf(core.orders, engine.id);
  // A load under way counts as done: else each plan would order it anew elsewhere.
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
      perEngine: slots * TOKENS_PER_SECOND_PER_SLOT,
    };
    const replicas = updateReplicas(core.orders, model, current, load, now);
    return { model: model.id, replicas };
  });
  return assignModels(engines, wanted);
}

function isBusy(engine: EngineOrders, now: number): boolean {
  const underWay = engine.ordered !== null && now - engine.orderedAt < ORDER_RETRY_MS;
  const changed = engine.changedAt > 0 && now - engine.changedAt < MIN_CHANGE_INTERVAL_MS;
  return underWay || (changed && engine.ordered === null);
}

/** An engine that checks nothing is ordered only on a list that is settled and fresh. */
function isConfirmed(core: Core, engine: Engine, now: number, actions: Action[]): boolean {
  if (engine.fencing === 'checked') return true;
  const orders = ordersOf(core.orders, engine.id);
  const { listHeardAt } = core.membership;
  if (orders.confirmingSince === null) {
    orders.confirmingSince = now;
    actions.push({ kind: 'fetch-list', peer: null });
    return false;
  }
  return now - orders.confirmingSince >= LIST_SETTLE_MS && listHeardAt > orders.confirmingSince;
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
  if (row === undefined || !isConfirmed(core, engine, now, actions)) return;
  if (!spendLoadBudget(core.orders, row.weightBytes)) return;
  // From the clock, so that a restarted owner goes on above its earlier numbers.
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
  earnLoadBudget(core.orders, weightsBytesPerSecond / countVms(core.membership), now);
}

/** Says whether a model's other engines are enough while this one changes. */
function canBeSpared(core: Core, view: TableView, engine: Engine): boolean {
  const [current] = listServedModels(core.orders, engine);
  if (current === undefined) return true;
  const serving = view.managed.filter(
    (other) =>
      listServedModels(core.orders, other).includes(current) &&
      ordersOf(core.orders, other.id).ordered === null,
  ).length;
  const replicas = core.orders.models.get(current)?.replicas ?? 0;
  return serving - 1 >= Math.floor(replicas * MIN_SERVING_FRACTION);
}

/** Orders the engines that this VM owns to load what the fleet's demand asks for. */
export function issueOrders(core: Core, now: number, actions: Action[]): void {
  const { view } = core.table;
  const { list, leaving, self } = core.membership;
  if (view === null || list === null || view.managed.length === 0) return;
  if (leaving || isStale(core.membership)) return;
  if (now - core.orders.plannedAt < PLAN_INTERVAL_MS) return;
  core.orders.plannedAt = now;
  accrueLoadBudget(core, now);
  const plan = planModels(core, view, now);
  for (const engine of view.managed) {
    const model = plan.get(engine.id);
    const orders = ordersOf(core.orders, engine.id);
    if (model === undefined || findOwner(list, engine)?.id !== self.id) continue;
    // Before the first report the engine may have anything: nothing is ordered blindly.
    if (orders.loaded === null || isBusy(orders, now)) continue;
    const wanted = `${model}@${view.models.get(model)?.version ?? ''}`;
    if (orders.loaded.length === 1 && orders.loaded[0] === wanted) continue;
    if (canBeSpared(core, view, engine)) issueOrder(core, view, engine, model, now, actions);
  }
}
