export { choosePeer } from './choosePeer.js';
export { beginLeaving, beginRecheck, endRecheck, noteRecheck, offerList } from './commands.js';
export {
  forgetMembers,
  recordAllNews,
  recordAnswer,
  recordHeartbeat,
  recordSilence,
} from './memberRecords.js';
export { isReader } from './isPlatformReader.js';
export {
  countVms,
  distanceTo,
  findVm,
  hasFailed,
  isClosed,
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
