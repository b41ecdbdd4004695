export { addPeerLoad } from './peerLoads.js';
export type { Selection } from './chooseLane.js';
export {
  correctCost,
  enqueueRequest,
  removeRequest,
  requeueRequest,
  takeHopeless,
  takeNext,
  takeOverflow,
} from './commands.js';
export {
  arrivalRate,
  classRate,
  hasWaiting,
  listClassLoads,
  listLanes,
  listWaitingPools,
  type LaneLength,
} from './queries.js';
export {
  createAdmissionState,
  type AccountLane,
  type AdmissionState,
  type Lane,
  type PeerDemand,
  type PeerDemands,
  type PoolQueue,
  type Waiting,
} from './state.js';
