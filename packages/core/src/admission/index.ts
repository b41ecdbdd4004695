export { clearPeerLoads, offersOf, recordPeerLoads } from './peerLoads.js';
export { divideSlots, type Division, type VmDemand } from './divideSlots.js';
export type { Selection } from './chooseLane.js';
export {
  announceOffers,
  correctCost,
  enqueueRequest,
  removeRequest,
  requeueRequest,
  takeHopeless,
  takeNext,
  takeOverflow,
} from './commands.js';
export {
  classRate,
  hasWaiting,
  listClassLoads,
  listLanes,
  listWaitingPools,
  offeredRate,
  type LaneLength,
} from './queries.js';
export {
  createAdmissionState,
  type AccountLane,
  type AdmissionState,
  type Lane,
  type OfferedRates,
  type PeerDemand,
  type PoolQueue,
  type QueuedRequest,
} from './state.js';
