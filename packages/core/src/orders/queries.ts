import { highestRankedMember } from '../shared/index.js';
import type { TableView } from '../table/index.js';
import {
  listVmsNear,
  type Endpoint,
  type Engine,
  type PoolId,
  type Vm,
  type VmList,
} from '../types/index.js';
import type { OrdersState } from './state.js';

const NO_ENDPOINTS: readonly Endpoint[] = [];

/** Returns the model id of a name with a version, `id@version`. */
export function stripVersion(name: string): string {
  return name.replace(/@[^@]*$/, '');
}

/** Returns the only VM that may give orders to an engine, of the engine's region if possible. */
export function findEngineOwner(list: VmList, engine: Engine): Vm | undefined {
  return highestRankedMember(`orders/${engine.id}`, listVmsNear(list, engine.region));
}

/**
 * Lists the models that an engine serves: those that a managed engine reported as loaded; those of
 * its table row for other engines, and before the first report.
 */
export function listServedModels(state: OrdersState, engine: Engine): readonly string[] {
  if (!engine.managed) return engine.models;
  return state.engines.get(engine.id)?.loaded?.map(stripVersion) ?? engine.models;
}

/** Returns whether an open order unloads a model, so that the engine gets no new work for it. */
export function isUnloading(state: OrdersState, engineId: string, model: string): boolean {
  const ordered = state.engines.get(engineId)?.ordered;
  return (ordered ?? null) !== null && !ordered!.map(stripVersion).includes(model);
}

function findPoolMembers(state: OrdersState, view: TableView, pool: PoolId): readonly Endpoint[] {
  const model = pool.slice('model:'.length);
  const fixed = (view.pools.get(pool) ?? []).filter((e) => e.kind === 'service' || !e.managed);
  const managed = view.managed.filter(
    (engine) =>
      listServedModels(state, engine).includes(model) && !isUnloading(state, engine.id, model),
  );
  return [...fixed, ...managed];
}

/**
 * Lists the endpoints that serve a pool. The same array is returned until the table or an engine's
 * models change, so that callers can cache what they derive from it.
 */
export function listPoolMembers(
  state: OrdersState,
  view: TableView,
  pool: PoolId,
): readonly Endpoint[] {
  if (view.managed.length === 0 || !pool.startsWith('model:')) {
    return view.pools.get(pool) ?? NO_ENDPOINTS;
  }
  const cached = state.members.get(pool);
  if (cached?.view === view) return cached.endpoints;
  const endpoints = findPoolMembers(state, view, pool);
  state.members.set(pool, { view, endpoints });
  return endpoints;
}
