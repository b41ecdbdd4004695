export { assignModels, type ManagedEngine, type WantedReplicas } from './assignModels.js';
export {
  increaseLoadBudget,
  clearOpenOrders,
  recordLoadedModels,
  recordOrder,
  recordOrderEnd,
  spendLoadBudget,
} from './commands.js';
export {
  findEngineOwner,
  isUnloading,
  listPoolMembers,
  listServedModels,
  stripVersion,
} from './queries.js';
export { updateReplicas, type ModelDemand } from './replicas.js';
export {
  createOrdersState,
  getOrCreateEngineOrders,
  type EngineOrders,
  type ModelReplicas,
  type OrdersState,
} from './state.js';
