export {
  beginClaim,
  buildClaimCall,
  takeClaimFailure,
  takeClaimReply,
  type Claimed,
  type ClaimStep,
} from './claimant.js';
export { adoptList, answerLists, settleLists, takeLists } from './lists.js';
export { hasJoined, listChain, listLists, listWitnesses } from './queries.js';
export { claimRules, defaultClaimSettings, type ClaimRule, type ClaimSettings } from './rules.js';
export { createClaimState, type Claim, type ClaimState, type Grant } from './state.js';
export { answerClaim, forgetGrants, releaseGrant } from './witness.js';
