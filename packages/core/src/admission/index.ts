export {
  enqueueRequest,
  removeRequest,
  requeueRequest,
  takeExpired,
  takeNext,
} from './commands.js';
export { hasWaiting, listClassLoads, listLanes, type LaneLength } from './queries.js';
export { createAdmissionState, type AdmissionState, type Lane } from './state.js';
