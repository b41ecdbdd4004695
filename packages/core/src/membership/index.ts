export { choosePeer } from './choosePeer.js';
export { beginLeaving, beginRecheck, endRecheck, noteRecheck, offerList } from './commands.js';
export {
  forgetMembers,
  recordAllNews,
  recordAnswer,
  recordHeartbeat,
  recordSilence,
} from './hearing.js';
export { isReader } from './isReader.js';
export {
  countVms,
  distanceTo,
  findVm,
  hasFailed,
  isEndpointLeaving,
  isReady,
  isStale,
  isUnreachable,
  listNews,
  listPeers,
  listReachablePeers,
  ownPeerUrl,
  ownState,
} from './queries.js';
export {
  createMembershipState,
  type Distance,
  type Member,
  type MembershipState,
  type Recheck,
} from './state.js';
