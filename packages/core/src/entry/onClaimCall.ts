import {
  answerClaim,
  answerListsCall,
  removeExpiredGrants,
  isLateGrant,
  releaseGrant,
  retireLists,
  handleClaimFailure,
  handleClaimReply,
  mergePeerLists,
} from '../claims/index.js';
import { findVm, listPeers } from '../membership/index.js';
import type { ClaimCall, ClaimReply, ListsCall, ListsReply, ReleaseCall } from '../types/index.js';
import type { Action } from './action.js';
import { advanceClaim } from './claimKey.js';
import { nextId, type Core } from './core.js';
import { onListOffered } from './onPlatform.js';
import { releaseGrants } from './releaseGrants.js';

const LIST_EXCHANGE_INTERVAL_MS = 500;

/** Peers asked in one list exchange. */
const MAX_PEERS_ASKED = 4;

/** Answers a peer's claim as a witness. */
export function onClaimCalled(
  core: Core,
  callId: string,
  call: ClaimCall,
  now: number,
  actions: Action[],
): void {
  core.claims.isLeaving = core.membership.leaving;
  actions.push({ kind: 'reply-peer', callId, reply: answerClaim(core.claims, call, now) });
}

/** Releases a grant at the claimant's request. */
export function onReleaseCalled(
  core: Core,
  callId: string,
  call: ReleaseCall,
  actions: Action[],
): void {
  const reply = { released: releaseGrant(core.claims, call) };
  actions.push({ kind: 'reply-peer', callId, reply });
}

/** Answers a peer's request for VM lists. */
export function onListsCalled(
  core: Core,
  callId: string,
  call: ListsCall,
  now: number,
  actions: Action[],
): void {
  actions.push({ kind: 'reply-peer', callId, reply: answerListsCall(core.claims, call, now) });
}

/** Advances a claim by a witness's answer, or releases the grant if it came too late. */
export function onClaimReplied(
  core: Core,
  call: ClaimCall,
  peerId: string,
  reply: ClaimReply,
  now: number,
  actions: Action[],
): void {
  if (isLateGrant(core.claims, call, reply)) {
    const peer = findVm(core.membership, peerId);
    if (peer !== undefined) releaseGrants(core, call.key, call.attemptId, [peer], actions);
    return;
  }
  advanceClaim(core, call, handleClaimReply(core.claims, call, peerId, reply, now), now, actions);
}

/** Advances a claim whose witness did not answer. */
export function onClaimFailed(
  core: Core,
  call: ClaimCall,
  peerId: string,
  now: number,
  actions: Action[],
): void {
  advanceClaim(core, call, handleClaimFailure(core.claims, call, peerId, now), now, actions);
}

/** Merges a peer's VM lists. */
export function onListsReplied(
  core: Core,
  peerId: string,
  reply: ListsReply,
  now: number,
  actions: Action[],
): void {
  if (!mergePeerLists(core.claims, peerId, reply, now) || core.claims.list === null) return;
  const source = { peer: peerId };
  onListOffered(core, { kind: 'list-offered', list: core.claims.list, source }, now, actions);
}

/**
 * Removes expired grants, and asks peers for their VM lists until a peer that has joined has handed
 * its lists over and no earlier list is left.
 */
export function exchangeLists(core: Core, now: number, actions: Action[]): void {
  const { claims, membership } = core;
  if (now < core.nextListExchangeAt || claims.list === null) return;
  core.nextListExchangeAt = now + LIST_EXCHANGE_INTERVAL_MS;
  removeExpiredGrants(claims, now);
  retireLists(claims, now);
  const newestEarlierList = claims.earlierLists.at(-1);
  if (claims.hasJoined && newestEarlierList === undefined) return;
  const revisions = [...claims.earlierLists.map(({ list }) => list.revision), claims.list.revision];
  const call: ListsCall = { method: 'lists', from: membership.self.id, revisions };
  const peersToAsk = listPeers(membership).filter(
    (vm) => newestEarlierList?.leftBy.has(vm.id) !== true,
  );
  for (const peer of peersToAsk.slice(0, MAX_PEERS_ASKED)) {
    actions.push({ kind: 'call-peer', callId: nextId(core, 'c'), peer, call });
  }
}
