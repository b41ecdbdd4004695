import { rankMembers } from '../shared/index.js';
import { listVmsNear, type Vm, type VmList } from '../types/index.js';
import type { ClaimSettings } from './rules.js';
import type { Claim, ClaimState } from './state.js';

/**
 * Returns a key's witnesses in a list: the best of each zone of the region, then the next
 * best. The same list gives the same witnesses on every VM.
 */
export function listWitnesses(list: VmList, key: string, region: string, most: number): Vm[] {
  const ranked = rankMembers(key, listVmsNear(list, region));
  const seen = new Set<string>();
  const best = ranked.filter((vm) => {
    const isFirst = !seen.has(vm.zone);
    seen.add(vm.zone);
    return isFirst;
  });
  const rest = ranked.filter((vm) => !best.includes(vm));
  return [...best, ...rest].slice(0, most);
}

/** Returns how many of so many witnesses must grant a key. */
export function quorumOf(state: ClaimState, witnesses: number): number {
  const majority = Math.floor(witnesses / 2) + 1;
  return state.enforced.has('majority') ? majority : Math.max(1, majority - 1);
}

/** Returns the age past which a claim is not dispatched. */
export function longestClaimMs({ windowMs }: ClaimSettings): number {
  return windowMs / 2;
}

/** Returns how long a witness holds a key: a resend may come late and take its time. */
export function holdMs({ settings }: ClaimState): number {
  return settings.windowMs + longestClaimMs(settings);
}

/** Returns the latest instant that certainly lies before a key was issued. */
export function issuedAfter(state: ClaimState, issuedAt: number | null, now: number): number {
  return (issuedAt ?? now - holdMs(state)) - state.settings.skewMs;
}

/** Says whether this VM knows the earlier lists that others may still claim under. */
export function hasJoined(state: ClaimState, now: number): boolean {
  if (state.hasJoined || !state.enforced.has('joined')) return true;
  return now - state.startedAt >= state.settings.startWaitMs;
}

/** Lists the revisions of the earlier lists that are not settled, oldest first. */
export function listChain(state: ClaimState): number[] {
  return state.earlier.map(({ list }) => list.revision);
}

/** Lists all lists that matter to claims, oldest first. */
export function listLists(state: ClaimState): VmList[] {
  const earlier = state.earlier.map(({ list }) => list);
  return state.list === null ? earlier : [...earlier, state.list];
}

/** Returns the witnesses of a claim in one list. */
export function witnessesOf(state: ClaimState, claim: Claim, list: VmList): Vm[] {
  return listWitnesses(list, claim.key, claim.region, state.settings.witnesses);
}

/** Says whether a claim is certain under one list. */
export function isCertain(state: ClaimState, claim: Claim, list: VmList, now: number): boolean {
  const witnesses = witnessesOf(state, claim, list);
  if (witnesses.length === 0) return false;
  const quorum = quorumOf(state, witnesses.length);
  if (witnesses.filter((vm) => claim.granted.has(vm.id)).length >= quorum) return true;
  const earlier = state.earlier.find((known) => known.list.revision === list.revision);
  if (earlier === undefined) return false;
  // So many witnesses were on a later list before the key was issued that no majority of
  // them can ever grant it under this one.
  const latest = state.enforced.has('left-before-issue')
    ? issuedAfter(state, claim.issuedAt, now)
    : Infinity;
  const left = witnesses.filter((vm) => (earlier.leftBy.get(vm.id) ?? Infinity) < latest);
  return left.length > witnesses.length - quorum;
}

/** Says whether a claim can no longer become certain under one list. */
export function isHopeless(state: ClaimState, claim: Claim, list: VmList): boolean {
  const witnesses = witnessesOf(state, claim, list);
  const open = witnesses.filter((vm) => !claim.missing.has(vm.id)).length;
  return open < quorumOf(state, witnesses.length);
}

/** Lists the lists under which a claim must be certain before it is dispatched. */
export function listsToSettle(state: ClaimState): VmList[] {
  if (state.list === null) return [];
  return state.enforced.has('earlier-lists') ? listLists(state) : [state.list];
}
