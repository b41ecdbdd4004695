export {
  beginClaim,
  buildClaimCall,
  cancelClaim,
  isLateGrant,
  handleClaimFailure,
  handleClaimReply,
  type ClaimRequest,
  type ClaimStep,
} from './claimant.js';
export { adoptClaimList, answerListsCall, retireLists, mergePeerLists } from './lists.js';
export {
  hasJoined,
  listEarlierRevisions,
  listClaimLists,
  selectWitnesses,
  maxClaimAgeMs,
} from './queries.js';
export { claimRules, defaultClaimSettings, type ClaimRule, type ClaimSettings } from './rules.js';
export { createClaimState, type Claim, type ClaimState, type Grant } from './state.js';
export { answerClaim, removeExpiredGrants, releaseGrant } from './witness.js';
