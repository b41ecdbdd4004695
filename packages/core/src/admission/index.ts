export { clearPeerLoads, findOfferedRates, recordPeerLoads } from './peerLoads.js';
export { divideSlots, type SlotDivision, type VmDemand } from './divideSlots.js';
export type { SelectionContext } from './chooseLane.js';
export {
  updateAdvertisedRates,
  correctCost,
  enqueueRequest,
  removeRequest,
  requeueRequest,
  takeMatching,
  takeNext,
  takeOverflow,
} from './commands.js';
export {
  estimateClassRate,
  hasWaiting,
  listClassLoads,
  listLaneLengths,
  listWaitingPools,
  measureOfferedRate,
  type LaneLength,
} from './queries.js';
export {
  createAdmissionState,
  type AccountLane,
  type AdmissionState,
  type ClassLane,
  type OfferedRates,
  type PeerDemand,
  type PoolQueue,
  type QueuedRequest,
} from './state.js';
