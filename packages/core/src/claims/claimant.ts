import type { ClaimCall, ClaimReply, KeyHolder, Verdict, Vm } from '../types/index.js';
import { adoptClaimList } from './lists.js';
import {
  hasJoined,
  isSecured,
  isQuorumOutOfReach,
  listClaimLists,
  listRequiredLists,
  maxClaimAgeMs,
  quorumSize,
  listClaimWitnesses,
} from './queries.js';
import type { Claim, ClaimState } from './state.js';

/** Restarts under newer VM lists that a claim may take; with one more it is lost. */
const MAX_RESTARTS = 6;

/** Next step of a claimant: wait for replies, ask more witnesses, or act on the result. */
export type ClaimStep =
  | { readonly kind: 'wait' }
  | { readonly kind: 'ask'; readonly vms: readonly Vm[] }
  | { readonly kind: 'won'; readonly witnesses: readonly Vm[] }
  | {
      readonly kind: 'held';
      readonly holder: KeyHolder;
      /** True when a quorum of witnesses name this holder, so that its claim was won. */
      readonly hasWon: boolean;
      /** Witnesses that must be sent a release. */
      readonly release: readonly Vm[];
    }
  | {
      readonly kind: 'lost';
      /** Whether an earlier attempt with the key may have run. */
      readonly verdict: Verdict;
      /** Witnesses that must be sent a release. */
      readonly release: readonly Vm[];
    };

/** Key to claim and the attempt that claims it. */
export interface ClaimRequest extends KeyHolder {
  readonly key: string;
  /** Home region of the key's account, whose VMs are its witnesses. */
  readonly region: string;
  /** When the caller issued the key, epoch milliseconds; null when the key does not say. */
  readonly issuedAt: number | null;
}

const WAIT: ClaimStep = { kind: 'wait' };

function listAskedWitnesses(state: ClaimState, claim: Claim): Vm[] {
  const vms = new Map(listClaimLists(state).flatMap((list) => list.vms.map((vm) => [vm.id, vm])));
  return [...claim.askedWitnesses].flatMap((id) => vms.get(id) ?? []);
}

function loseClaim(state: ClaimState, claim: Claim, verdict: Verdict): ClaimStep {
  state.claims.delete(claim.attemptId);
  const release = listAskedWitnesses(state, claim);
  const [holder] = claim.holders;
  if (holder === undefined) return { kind: 'lost', verdict, release };
  const namingCount = claim.holders.filter(
    ({ attemptId }) => attemptId === holder.attemptId,
  ).length;
  const hasWon = namingCount >= quorumSize(state, claim.askedWitnesses.size);
  return { kind: 'held', holder, hasWon, release };
}

function askWitnesses(claim: Claim, vms: readonly Vm[]): ClaimStep {
  vms.forEach((vm) => claim.askedWitnesses.add(vm.id));
  return { kind: 'ask', vms };
}

function restartClaim(state: ClaimState, claim: Claim): ClaimStep {
  if (state.list === null) return loseClaim(state, claim, 'may-have-run');
  claim.listRevision = state.list.revision;
  claim.granted.clear();
  claim.notGranting.clear();
  claim.askedWitnesses.clear();
  claim.holders.length = 0;
  const vms = listClaimWitnesses(state, claim, state.list);
  return vms.length === 0 ? loseClaim(state, claim, 'may-have-run') : askWitnesses(claim, vms);
}

// A witness that grants the key has granted it to no other attempt. So `not-run` is certain only
// when, under each list, the witnesses that did not grant it are too few to be a majority.
function lossVerdict(state: ClaimState, claim: Claim): Verdict {
  const wasNeverWon = listRequiredLists(state).every((list) => {
    const witnesses = listClaimWitnesses(state, claim, list);
    const grants = witnesses.filter((vm) => claim.granted.has(vm.id)).length;
    return grants > witnesses.length - (Math.floor(witnesses.length / 2) + 1);
  });
  return wasNeverWon ? 'not-run' : 'may-have-run';
}

function hasExpired(state: ClaimState, claim: Claim, now: number): boolean {
  return (
    state.enforcedRules.has('claim-age') && now - claim.startedAt > maxClaimAgeMs(state.settings)
  );
}

function evaluateClaim(state: ClaimState, claim: Claim, now: number): ClaimStep {
  const unsecured = listRequiredLists(state).filter((list) => !isSecured(state, claim, list, now));
  if (unsecured.length === 0) {
    if (hasExpired(state, claim, now)) return loseClaim(state, claim, lossVerdict(state, claim));
    state.claims.delete(claim.attemptId);
    state.wonAtByAttempt.set(claim.attemptId, now);
    return { kind: 'won', witnesses: listAskedWitnesses(state, claim) };
  }
  if (state.list !== null && isQuorumOutOfReach(state, claim, state.list)) {
    return loseClaim(state, claim, lossVerdict(state, claim));
  }
  const hasPendingReplies = [...claim.askedWitnesses].some(
    (id) => !claim.granted.has(id) && !claim.notGranting.has(id),
  );
  if (hasPendingReplies) return WAIT;
  const unasked = unsecured
    .flatMap((list) => listClaimWitnesses(state, claim, list))
    .filter(
      (vm, at, all) =>
        !claim.askedWitnesses.has(vm.id) && all.findIndex((o) => o.id === vm.id) === at,
    );
  return unasked.length > 0
    ? askWitnesses(claim, unasked)
    : loseClaim(state, claim, lossVerdict(state, claim));
}

/** Starts a claim of a key for one attempt; returns the witnesses to ask. */
export function beginClaim(state: ClaimState, request: ClaimRequest, now: number): ClaimStep {
  const claim: Claim = {
    ...request,
    startedAt: now,
    listRevision: -1,
    restarts: 0,
    askedWitnesses: new Set(),
    granted: new Set(),
    notGranting: new Set(),
    holders: [],
  };
  state.claims.set(claim.attemptId, claim);
  if (!hasJoined(state, now)) return loseClaim(state, claim, 'may-have-run');
  return restartClaim(state, claim);
}

/** Builds the call that asks a witness to grant the key. */
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

function adoptNewerLists(
  state: ClaimState,
  claim: Claim,
  reply: Extract<ClaimReply, { kind: 'abstained' }>,
  now: number,
): ClaimStep {
  reply.lists.forEach((list) => adoptClaimList(state, list, now));
  claim.restarts += 1;
  if (claim.restarts > MAX_RESTARTS) return loseClaim(state, claim, 'may-have-run');
  return restartClaim(state, claim);
}

/** Handles a witness's reply; replies to calls made under another list revision are ignored. */
export function handleClaimReply(
  state: ClaimState,
  call: ClaimCall,
  witnessId: string,
  reply: ClaimReply,
  now: number,
): ClaimStep {
  const claim = state.claims.get(call.attemptId);
  if (claim === undefined || call.listRevision !== claim.listRevision) return WAIT;
  if (hasExpired(state, claim, now)) return loseClaim(state, claim, lossVerdict(state, claim));
  if (reply.kind === 'granted') claim.granted.add(witnessId);
  else if (reply.kind === 'held') {
    claim.holders.push(reply.holder);
    claim.notGranting.add(witnessId);
  } else if (reply.reason === 'newer-list') return adoptNewerLists(state, claim, reply, now);
  else claim.notGranting.add(witnessId);
  return evaluateClaim(state, claim, now);
}

/** Handles a call that a witness did not answer in time. */
export function handleClaimFailure(
  state: ClaimState,
  call: ClaimCall,
  witnessId: string,
  now: number,
): ClaimStep {
  const claim = state.claims.get(call.attemptId);
  if (claim === undefined || call.listRevision !== claim.listRevision) return WAIT;
  if (!claim.granted.has(witnessId)) claim.notGranting.add(witnessId);
  return evaluateClaim(state, claim, now);
}

/**
 * Says whether a grant arrived after its claim was lost or cancelled, so that it must be released.
 */
export function isLateGrant(
  state: ClaimState,
  { attemptId }: ClaimCall,
  reply: ClaimReply,
): boolean {
  if (reply.kind !== 'granted') return false;
  return !state.claims.has(attemptId) && !state.wonAtByAttempt.has(attemptId);
}

/** Cancels a claim; returns the witnesses that must be sent a release. */
export function cancelClaim(state: ClaimState, attemptId: string): readonly Vm[] {
  const claim = state.claims.get(attemptId);
  if (claim === undefined) return [];
  state.claims.delete(attemptId);
  return listAskedWitnesses(state, claim);
}
