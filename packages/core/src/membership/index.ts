export { beginLeaving, offerList } from './commands.js';
export { countVms, isEndpointLeaving, listPeers } from './queries.js';
export { createMembershipState, type Member, type MembershipState } from './state.js';
