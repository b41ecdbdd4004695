export { choosePeer } from './choosePeer.js';
export {
  beginLeaving,
  beginRecheck,
  endRecheck,
  completeRecheckPart,
  updateVmList,
} from './commands.js';
export {
  forgetMembers,
  mergeMemberUpdates,
  recordPeerAnswer,
  recordHeartbeat,
  recordCallFailure,
} from './memberRecords.js';
export { isPlatformReader } from './isPlatformReader.js';
export {
  countLiveVms,
  distanceTo,
  findVm,
  hasFailingCalls,
  hasStoppedAccepting,
  isEndpointLeaving,
  isReady,
  isAwaitingRecheck,
  isUnreachable,
  listMemberUpdates,
  listPeers,
  listReachablePeers,
  ownPeerUrl,
  ownVmState,
} from './queries.js';
export {
  createMembershipState,
  type Distance,
  type Member,
  type MembershipState,
  type Recheck,
} from './state.js';
