export {
  beginClaim,
  buildClaimCall,
  dropClaim,
  isLateGrant,
  takeClaimFailure,
  takeClaimReply,
  type ClaimRequest,
  type ClaimStep,
} from './claimant.js';
export { adoptList, answerLists, settleLists, takeLists } from './lists.js';
export {
  hasJoined,
  listEarlierRevisions,
  listLists,
  selectWitnesses,
  longestClaimMs,
} from './queries.js';
export { claimRules, defaultClaimSettings, type ClaimRule, type ClaimSettings } from './rules.js';
export { createClaimState, type Claim, type ClaimState, type Grant } from './state.js';
export { answerClaim, forgetClaims, releaseGrant } from './witness.js';
