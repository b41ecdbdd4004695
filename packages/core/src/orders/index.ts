export { assignModels, type ManagedEngine, type WantedReplicas } from './assignModels.js';
export {
  earnLoadBudget,
  forgetOrders,
  recordLoaded,
  recordOrder,
  recordOrderEnd,
  spendLoadBudget,
} from './commands.js';
export {
  findOwner,
  isUnloading,
  listPoolMembers,
  listServedModels,
  stripVersion,
} from './queries.js';
export { updateReplicas, type ModelDemand } from './replicas.js';
export {
  createOrdersState,
  ordersOf,
  type EngineOrders,
  type ModelReplicas,
  type OrdersState,
} from './state.js';
