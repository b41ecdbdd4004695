import type { Heartbeat, MemberUpdate } from '../types/index.js';
import { findVm, hasFailingCalls, isUnreachable } from './queries.js';
import type { Member, MembershipState } from './state.js';

/** Silence after which a member that is not listed is removed. */
const FORGET_AFTER_MS = 60_000;

/**
 * Time after direct contact with a member for which peers' updates on it are ignored, unless it
 * leaves or has restarted.
 */
const DIRECT_EVIDENCE_PRECEDENCE_MS = 4000;

function getOrCreateMember(state: MembershipState, id: string): Member {
  let member = state.members.get(id);
  if (member === undefined) {
    member = {
      id,
      incarnation: -1,
      state: 'live',
      heartbeat: null,
      heardAt: 0,
      evidenceAt: 0,
      gossipedChangeAt: 0,
      failures: 0,
    };
    state.members.set(id, member);
  }
  return member;
}

// Changes between starting and live are not gossiped: no other VM decides by them.
function isWorthGossiping(before: MemberUpdate['state'], after: MemberUpdate['state']): boolean {
  return after === 'leaving' || after === 'unreachable' || before === 'unreachable';
}

function setMemberState(member: Member, next: MemberUpdate['state'], now: number): void {
  if (member.state === next) return;
  if (isWorthGossiping(member.state, next)) member.gossipedChangeAt = now;
  member.state = next;
}

function adoptIncarnation(member: Member, incarnation: number, now: number): void {
  if (incarnation <= member.incarnation) return;
  if (member.incarnation >= 0) member.gossipedChangeAt = now;
  member.incarnation = incarnation;
  member.heartbeat = null;
}

/**
 * Records a heartbeat; false when it is this VM's own, late or a duplicate. It clears the failures
 * of calls to an earlier incarnation only: calls to a peer may keep failing while its heartbeats
 * still arrive.
 */
export function recordHeartbeat(
  state: MembershipState,
  heartbeat: Heartbeat,
  now: number,
): boolean {
  const { from, incarnation, sequence } = heartbeat;
  if (from === state.self.id) return false;
  const member = getOrCreateMember(state, from);
  if (incarnation < member.incarnation) return false;
  if (incarnation > member.incarnation) member.failures = 0;
  adoptIncarnation(member, incarnation, now);
  if (member.heartbeat !== null && sequence <= member.heartbeat.sequence) return false;
  member.heartbeat = heartbeat;
  member.heardAt = now;
  member.evidenceAt = now;
  setMemberState(member, heartbeat.state, now);
  return true;
}

/** Records that a peer answered a call. */
export function recordPeerAnswer(state: MembershipState, id: string, now: number): void {
  const member = getOrCreateMember(state, id);
  member.failures = 0;
  member.heardAt = now;
}

/** Records that a peer did not answer a call; true when this makes it unreachable. */
export function recordCallFailure(state: MembershipState, id: string, now: number): boolean {
  const member = getOrCreateMember(state, id);
  member.failures += 1;
  if (!hasFailingCalls(member)) state.peersToRetry.add(id);
  if (member.state === 'unreachable' || !isUnreachable(member, now)) return false;
  member.evidenceAt = now;
  setMemberState(member, 'unreachable', now);
  return true;
}

function mergeMemberUpdate(state: MembershipState, update: MemberUpdate, now: number): void {
  if (update.id === state.self.id || findVm(state, update.id) === undefined) return;
  const member = getOrCreateMember(state, update.id);
  if (update.incarnation < member.incarnation) return;
  const isNewer = update.incarnation > member.incarnation;
  adoptIncarnation(member, update.incarnation, now);
  if (isNewer) {
    member.evidenceAt = update.heardAt;
    setMemberState(member, update.state, now);
    return;
  }
  // Leaving is final for an incarnation; any other state yields to recent direct contact.
  if (member.state === 'leaving') return;
  const isDirectEvidenceOld = now - member.heardAt > DIRECT_EVIDENCE_PRECEDENCE_MS;
  const isUpdateFresher = update.heardAt > member.evidenceAt && isDirectEvidenceOld;
  if (update.state !== 'leaving' && !isUpdateFresher) return;
  if (update.state === 'live') member.failures = 0;
  member.evidenceAt = update.heardAt;
  setMemberState(member, update.state, now);
}

/**
 * Merges the member updates that a peer gossips; updates of VMs that are not listed are ignored.
 */
export function mergeMemberUpdates(
  state: MembershipState,
  updates: readonly MemberUpdate[],
  now: number,
): void {
  updates.forEach((update) => mergeMemberUpdate(state, update, now));
}

/** Removes members that are neither listed nor recently heard from. */
export function forgetMembers(state: MembershipState, now: number): void {
  const listed = new Set(state.list?.vms.map((vm) => vm.id));
  for (const [id, member] of state.members) {
    if (!listed.has(id) && now - member.heardAt > FORGET_AFTER_MS) state.members.delete(id);
  }
}
