import { rankMembers } from '../shared/index.js';
import { listVmsNear, type Vm, type VmList } from '../types/index.js';
import type { ClaimSettings } from './rules.js';
import type { Claim, ClaimState } from './state.js';

/**
 * Selects up to `limit` witnesses of a key by rendezvous hashing: the highest ranked VM of each
 * zone of the region, then the next ranked. The same list gives the same witnesses on every VM.
 */
export function selectWitnesses(list: VmList, key: string, region: string, limit: number): Vm[] {
  const ranked = rankMembers(key, listVmsNear(list, region));
  const seenZones = new Set<string>();
  const firstOfEachZone = ranked.filter((vm) => {
    const isFirstOfZone = !seenZones.has(vm.zone);
    seenZones.add(vm.zone);
    return isFirstOfZone;
  });
  const rest = ranked.filter((vm) => !firstOfEachZone.includes(vm));
  return [...firstOfEachZone, ...rest].slice(0, limit);
}

/** Returns how many of a key's witnesses must grant it. */
export function quorumSize(state: ClaimState, witnessCount: number): number {
  const majority = Math.floor(witnessCount / 2) + 1;
  return state.enforcedRules.has('majority') ? majority : Math.max(1, majority - 1);
}

/** Returns the age in milliseconds beyond which a claim is lost even if it has its grants. */
export function maxClaimAgeMs({ windowMs }: ClaimSettings): number {
  return windowMs / 2;
}

/**
 * Returns how long a witness keeps a grant, in milliseconds: a key may be sent again up to the end
 * of its window, and the claim for it may take its maximum age.
 */
export function grantRetentionMs({ settings }: ClaimState): number {
  return settings.windowMs + maxClaimAgeMs(settings);
}

/**
 * Returns the earliest instant at which a key may have been issued, epoch milliseconds, allowing for
 * clock skew.
 */
export function earliestIssueTime(state: ClaimState, issuedAt: number | null, now: number): number {
  return (issuedAt ?? now - grantRetentionMs(state)) - state.settings.skewMs;
}

/**
 * Says whether this VM counts as knowing every earlier list that other VMs may still claim under: a
 * joined peer has handed over its lists, or the wait for one has ended.
 */
export function hasJoined(state: ClaimState, now: number): boolean {
  if (state.hasJoined || !state.enforcedRules.has('joined')) return true;
  return now - state.startedAt >= state.settings.startWaitMs;
}

/** Lists the revisions of the earlier lists that are not retired yet, oldest first. */
export function listEarlierRevisions(state: ClaimState): number[] {
  return state.earlierLists.map(({ list }) => list.revision);
}

/** Lists the VM lists that a VM may still claim under, oldest first; the current one is last. */
export function listClaimLists(state: ClaimState): VmList[] {
  const earlier = state.earlierLists.map(({ list }) => list);
  return state.list === null ? earlier : [...earlier, state.list];
}

/** Lists the witnesses of a claim under one VM list. */
export function listClaimWitnesses(state: ClaimState, claim: Claim, list: VmList): Vm[] {
  return selectWitnesses(list, claim.key, claim.region, state.settings.witnesses);
}

/**
 * Says whether a claim is secured under one list: a quorum granted it, or no other attempt can get
 * a majority under that list.
 */
export function isSecured(state: ClaimState, claim: Claim, list: VmList, now: number): boolean {
  const witnesses = listClaimWitnesses(state, claim, list);
  if (witnesses.length === 0) return false;
  const quorum = quorumSize(state, witnesses.length);
  if (witnesses.filter((vm) => claim.granted.has(vm.id)).length >= quorum) return true;
  const earlier = state.earlierLists.find((known) => known.list.revision === list.revision);
  if (earlier === undefined) return false;
  // Witnesses that moved on to a later list before the key was issued never grant it under this one.
  // If the rest are fewer than a quorum, no attempt can win the key under this list.
  const movedOnBefore = state.enforcedRules.has('left-before-issue')
    ? earliestIssueTime(state, claim.issuedAt, now)
    : Infinity;
  const movedOn = witnesses.filter((vm) => (earlier.leftBy.get(vm.id) ?? Infinity) < movedOnBefore);
  return movedOn.length > witnesses.length - quorum;
}

/** Says whether too few witnesses remain under one list for a claim to reach a quorum. */
export function isQuorumOutOfReach(state: ClaimState, claim: Claim, list: VmList): boolean {
  const witnesses = listClaimWitnesses(state, claim, list);
  const available = witnesses.filter((vm) => !claim.notGranting.has(vm.id)).length;
  return available < quorumSize(state, witnesses.length);
}

/** Lists the VM lists under which a claim must be secured before the request is dispatched. */
export function listRequiredLists(state: ClaimState): VmList[] {
  if (state.list === null) return [];
  return state.enforcedRules.has('earlier-lists') ? listClaimLists(state) : [state.list];
}
