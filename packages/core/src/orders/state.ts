import type { TableView } from '../table/index.js';
import type { Endpoint, PoolId } from '../types/index.js';

/** Cached endpoints of a pool, valid for one view of the table. */
export interface PoolMembers {
  readonly view: TableView;
  readonly endpoints: readonly Endpoint[];
}

/** Models of one engine, as ordered and as last reported; times are epoch milliseconds. */
export interface EngineOrders {
  /** Models that the engine reported as loaded; null before the first report. */
  loaded: readonly string[] | null;
  /** Time at which the engine measured the report that `loaded` is from. */
  reportedAt: number;
  /** Models of an order that no report confirms yet; null without such an order. */
  ordered: readonly string[] | null;
  orderedAt: number;
  /** Time of this VM's latest order to the engine; unlike `ordered`, kept when the order ends. */
  changedAt: number;
  /**
   * Since when an order waits for a newer VM list; null when none waits. Only an engine that
   * doesn't check fencing numbers needs this.
   */
  awaitingListSince: number | null;
  /** Orders that weren't applied, or whose result is unknown, since the last confirmed one. */
  failures: number;
}

/** Number of engines that a model should have. */
export interface ModelReplicas {
  replicas: number;
  /** Since when demand has called for another number; null while it doesn't. Epoch milliseconds. */
  outOfBandSince: number | null;
}

/** Models of the managed engines, and the orders that this VM has given. */
export interface OrdersState {
  /** By engine id. */
  readonly engines: Map<string, EngineOrders>;
  /** By model id. */
  readonly models: Map<string, ModelReplicas>;
  /** Rate of the weight store, which all VMs share; bytes per second. */
  readonly weightsBytesPerSecond: number;
  /** Bytes that this VM may have engines load from the weight store now; can be negative. */
  loadBudget: number;
  /** Cached members of the pools, cleared when an engine's models or orders change. */
  readonly members: Map<PoolId, PoolMembers>;
  /** Time at which `loadBudget` last grew; epoch milliseconds. */
  budgetUpdatedAt: number;
  /** Last part of the latest order's fencing number. */
  counter: number;
  /** Time of the latest plan; epoch milliseconds. */
  plannedAt: number;
}

/** Creates the state of a VM that has given no orders; the rate is the weight store's. */
export function createOrdersState(weightsBytesPerSecond: number): OrdersState {
  return {
    weightsBytesPerSecond,
    engines: new Map(),
    models: new Map(),
    members: new Map(),
    loadBudget: 0,
    budgetUpdatedAt: 0,
    counter: 0,
    plannedAt: 0,
  };
}

/** Returns the state of an engine, created on first use. */
export function getOrCreateEngineOrders(state: OrdersState, engineId: string): EngineOrders {
  let engine = state.engines.get(engineId);
  if (engine === undefined) {
    engine = {
      loaded: null,
      reportedAt: 0,
      ordered: null,
      orderedAt: 0,
      changedAt: 0,
      awaitingListSince: null,
      failures: 0,
    };
    state.engines.set(engineId, engine);
  }
  return engine;
}
