import { firstMember } from '../shared/index.js';
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

/** Returns the id of a model named with its version, as `id@version`. */
export function stripVersion(name: string): string {
  return name.replace(/@[^@]*$/, '');
}

/** Returns the VM that may order an engine: one of its region while there is any. */
export function findOwner(list: VmList, engine: Engine): Vm | undefined {
  return firstMember(`orders/${engine.id}`, listVmsNear(list, engine.region));
}

/** Lists the models that an engine serves now: what was read back, else what its row says. */
export function listServedModels(state: OrdersState, engine: Engine): readonly string[] {
  if (!engine.managed) return engine.models;
  return state.engines.get(engine.id)?.loaded?.map(stripVersion) ?? engine.models;
}

/** Says whether an engine is about to unload a model, and should get no new work for it. */
export function isUnloading(state: OrdersState, engineId: string, model: string): boolean {
  const ordered = state.engines.get(engineId)?.ordered;
  return (ordered ?? null) !== null && !ordered!.map(stripVersion).includes(model);
}

function findMembers(state: OrdersState, view: TableView, pool: PoolId): readonly Endpoint[] {
  const model = pool.slice('model:'.length);
  const fixed = (view.pools.get(pool) ?? []).filter((e) => e.kind === 'service' || !e.managed);
  const managed = view.managed.filter(
    (engine) =>
      listServedModels(state, engine).includes(model) && !isUnloading(state, engine.id, model),
  );
  return [...fixed, ...managed];
}

/**
 * Lists the endpoints that serve a pool now. The same list is returned until the table or an
 * engine's models change, so that what is derived from it can be kept as long.
 */
export function listPoolMembers(
  state: OrdersState,
  view: TableView,
  pool: PoolId,
): readonly Endpoint[] {
  if (view.managed.length === 0 || !pool.startsWith('model:')) {
    return view.pools.get(pool) ?? NO_ENDPOINTS;
  }
  const known = state.members.get(pool);
  if (known?.view === view) return known.endpoints;
  const endpoints = findMembers(state, view, pool);
  state.members.set(pool, { view, endpoints });
  return endpoints;
}
