import type { TableView } from '../table/index.js';
import type { Endpoint, PoolId } from '../types/index.js';

/** Endpoints that serve a pool, as they were found under one table. */
export interface PoolMembers {
  readonly view: TableView;
  readonly endpoints: readonly Endpoint[];
}

/** What is wanted of one engine, and what it was last seen to have. */
export interface EngineOrders {
  /** Models it was seen to have loaded; null before the first report. */
  loaded: readonly string[] | null;
  /** Instant that `loaded` describes. */
  loadedAt: number;
  /** Models ordered and not yet seen to be loaded; null when nothing is under way. */
  ordered: readonly string[] | null;
  orderedAt: number;
  /** Instant of the last change that this VM ordered. */
  changedAt: number;
  /** Set while an order waits for a fresh list: an engine that checks nothing needs one. */
  confirmingSince: number | null;
  failures: number;
}

/** How many engines a model should have, and since when another number looks better. */
export interface ModelReplicas {
  replicas: number;
  /** Instant since which demand has asked for more or fewer; null while it is content. */
  discontentSince: number | null;
}

/** What this VM knows and wants of the engines that the fleet manages. */
export interface OrdersState {
  readonly engines: Map<string, EngineOrders>;
  readonly models: Map<string, ModelReplicas>;
  /** Rate of the weight store, which all VMs share. */
  readonly weightsBytesPerSecond: number;
  /** Bytes that this VM may still load from the weight store now; may be negative. */
  loadBudget: number;
  /** Members of the pools, kept until an engine's models change. */
  readonly members: Map<PoolId, PoolMembers>;
  budgetAt: number;
  counter: number;
  plannedAt: number;
}

/** Creates the state of a VM that has ordered nothing. */
export function createOrdersState(weightsBytesPerSecond: number): OrdersState {
  return {
    weightsBytesPerSecond,
    engines: new Map(),
    models: new Map(),
    members: new Map(),
    loadBudget: 0,
    budgetAt: 0,
    counter: 0,
    plannedAt: 0,
  };
}

/** Returns the record of an engine, made when it is first named. */
export function ordersOf(state: OrdersState, engineId: string): EngineOrders {
  let engine = state.engines.get(engineId);
  if (engine === undefined) {
    engine = {
      loaded: null,
      loadedAt: 0,
      ordered: null,
      orderedAt: 0,
      changedAt: 0,
      confirmingSince: null,
      failures: 0,
    };
    state.engines.set(engineId, engine);
  }
  return engine;
}
