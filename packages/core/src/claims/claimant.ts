import type { ClaimCall, ClaimReply, Holder, Verdict, Vm } from '../types/index.js';
import { adoptList } from './lists.js';
import {
  hasJoined,
  isCertain,
  isHopeless,
  listLists,
  listsToSettle,
  longestClaimMs,
  quorumOf,
  witnessesOf,
} from './queries.js';
import type { Claim, ClaimState } from './state.js';

const MOST_RESTARTS = 6;

/** What a claimant does next. */
export type ClaimStep =
  | { readonly kind: 'wait' }
  | { readonly kind: 'ask'; readonly vms: readonly Vm[] }
  | { readonly kind: 'won'; readonly witnesses: readonly Vm[] }
  | {
      readonly kind: 'held';
      readonly holder: Holder;
      /** True when so many witnesses name it that it must have won. */
      readonly hasWon: boolean;
      readonly release: readonly Vm[];
    }
  | {
      readonly kind: 'lost';
      readonly verdict: Verdict;
      readonly release: readonly Vm[];
    };

/** What a claim is for. */
export interface Claimed extends Holder {
  readonly key: string;
  readonly region: string;
  readonly issuedAt: number | null;
}

const WAIT: ClaimStep = { kind: 'wait' };

function listAsked(state: ClaimState, claim: Claim): Vm[] {
  const vms = new Map(listLists(state).flatMap((list) => list.vms.map((vm) => [vm.id, vm])));
  return [...claim.asked].flatMap((id) => vms.get(id) ?? []);
}

function lose(state: ClaimState, claim: Claim, verdict: Verdict): ClaimStep {
  state.claims.delete(claim.attemptId);
  const release = listAsked(state, claim);
  const [holder] = claim.holders;
  if (holder === undefined) return { kind: 'lost', verdict, release };
  const named = claim.holders.filter(({ attemptId }) => attemptId === holder.attemptId).length;
  const hasWon = named >= quorumOf(state, claim.asked.size);
  return { kind: 'held', holder, hasWon, release };
}

function ask(claim: Claim, vms: readonly Vm[]): ClaimStep {
  vms.forEach((vm) => claim.asked.add(vm.id));
  return { kind: 'ask', vms };
}

function restart(state: ClaimState, claim: Claim): ClaimStep {
  if (state.list === null) return lose(state, claim, 'may-have-run');
  claim.listRevision = state.list.revision;
  claim.granted.clear();
  claim.missing.clear();
  claim.asked.clear();
  claim.holders.length = 0;
  const vms = witnessesOf(state, claim, state.list);
  return vms.length === 0 ? lose(state, claim, 'may-have-run') : ask(claim, vms);
}

// Not run is certain only when so many witnesses with their memory whole granted the key
// that no other attempt can have had a majority before.
function verdictOf(state: ClaimState, claim: Claim): Verdict {
  const isFree = listsToSettle(state).every((list) => {
    const witnesses = witnessesOf(state, claim, list);
    const grants = witnesses.filter((vm) => claim.granted.has(vm.id)).length;
    return grants > witnesses.length - (Math.floor(witnesses.length / 2) + 1);
  });
  return isFree ? 'not-run' : 'may-have-run';
}

function isTooOld(state: ClaimState, claim: Claim, now: number): boolean {
  return state.enforced.has('claim-age') && now - claim.startedAt > longestClaimMs(state.settings);
}

function settle(state: ClaimState, claim: Claim, now: number): ClaimStep {
  const uncertain = listsToSettle(state).filter((list) => !isCertain(state, claim, list, now));
  if (uncertain.length === 0) {
    if (isTooOld(state, claim, now)) return lose(state, claim, verdictOf(state, claim));
    state.claims.delete(claim.attemptId);
    state.won.set(claim.attemptId, now);
    return { kind: 'won', witnesses: listAsked(state, claim) };
  }
  if (state.list !== null && isHopeless(state, claim, state.list)) {
    return lose(state, claim, verdictOf(state, claim));
  }
  const isOpen = [...claim.asked].some((id) => !claim.granted.has(id) && !claim.missing.has(id));
  if (isOpen) return WAIT;
  const unasked = uncertain
    .flatMap((list) => witnessesOf(state, claim, list))
    .filter(
      (vm, at, all) => !claim.asked.has(vm.id) && all.findIndex((o) => o.id === vm.id) === at,
    );
  return unasked.length > 0 ? ask(claim, unasked) : lose(state, claim, verdictOf(state, claim));
}

/** Begins to claim a key for one attempt. */
export function beginClaim(state: ClaimState, claimed: Claimed, now: number): ClaimStep {
  const claim: Claim = {
    ...claimed,
    startedAt: now,
    listRevision: -1,
    restarts: 0,
    asked: new Set(),
    granted: new Set(),
    missing: new Set(),
    holders: [],
  };
  state.claims.set(claim.attemptId, claim);
  if (!hasJoined(state, now)) return lose(state, claim, 'may-have-run');
  return restart(state, claim);
}

/** Builds the call that asks a witness. */
export function buildClaimCall(claim: Claim): ClaimCall {
  const { key, region, issuedAt, attemptId, claimant, endpointId, streamId, fingerprint } = claim;
  return {
    method: 'claim',
    key,
    region,
    issuedAt,
    attemptId,
    claimant,
    endpointId,
    streamId,
    fingerprint,
    listRevision: claim.listRevision,
  };
}

function takeNewerList(
  state: ClaimState,
  claim: Claim,
  reply: Extract<ClaimReply, { kind: 'abstained' }>,
  now: number,
): ClaimStep {
  reply.lists.forEach((list) => adoptList(state, list, now));
  claim.restarts += 1;
  if (claim.restarts > MOST_RESTARTS) return lose(state, claim, 'may-have-run');
  return restart(state, claim);
}

/** Takes a witness's answer to the call made under `listRevision`. */
export function takeClaimReply(
  state: ClaimState,
  call: ClaimCall,
  witnessId: string,
  reply: ClaimReply,
  now: number,
): ClaimStep {
  const claim = state.claims.get(call.attemptId);
  if (claim === undefined || call.listRevision !== claim.listRevision) return WAIT;
  if (isTooOld(state, claim, now)) return lose(state, claim, verdictOf(state, claim));
  if (reply.kind === 'granted') claim.granted.add(witnessId);
  else if (reply.kind === 'held') {
    claim.holders.push(reply.holder);
    claim.missing.add(witnessId);
  } else if (reply.reason === 'newer-list') return takeNewerList(state, claim, reply, now);
  else claim.missing.add(witnessId);
  return settle(state, claim, now);
}

/** Takes in that a witness did not answer in time. */
export function takeClaimFailure(
  state: ClaimState,
  call: ClaimCall,
  witnessId: string,
  now: number,
): ClaimStep {
  const claim = state.claims.get(call.attemptId);
  if (claim === undefined || call.listRevision !== claim.listRevision) return WAIT;
  if (!claim.granted.has(witnessId)) claim.missing.add(witnessId);
  return settle(state, claim, now);
}

/** Says whether a grant came for an attempt that gave up, so that it must go back. */
export function isLateGrant(
  state: ClaimState,
  { attemptId }: ClaimCall,
  reply: ClaimReply,
): boolean {
  if (reply.kind !== 'granted') return false;
  return !state.claims.has(attemptId) && !state.won.has(attemptId);
}

/** Gives up a claim; returns the witnesses to which a release goes. */
export function dropClaim(state: ClaimState, attemptId: string): readonly Vm[] {
  const claim = state.claims.get(attemptId);
  if (claim === undefined) return [];
  state.claims.delete(attemptId);
  return listAsked(state, claim);
}
