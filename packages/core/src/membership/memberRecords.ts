import type { Heartbeat, MemberNews } from '../types/index.js';
import { findVm, hasFailed, isUnreachable } from './queries.js';
import type { Member, MembershipState } from './state.js';

/** Members that are not listed are forgotten after this silence. */
const FORGET_MS = 60_000;

/** Word of a member's silence counts only when we have not heard from it ourselves for so long. */
const OWN_WORD_MS = 4000;

function memberOf(state: MembershipState, id: string): Member {
  let member = state.members.get(id);
  if (member === undefined) {
    member = {
      id,
      incarnation: -1,
      state: 'live',
      heartbeat: null,
      heardAt: 0,
      knownAt: 0,
      changedAt: 0,
      failures: 0,
    };
    state.members.set(id, member);
  }
  return member;
}

// That a VM has become ready is no news: nothing is decided by it elsewhere.
function isNews(before: MemberNews['state'], after: MemberNews['state']): boolean {
  return after === 'leaving' || after === 'unreachable' || before === 'unreachable';
}

function changeState(member: Member, told: MemberNews['state'], now: number): void {
  if (member.state === told) return;
  if (isNews(member.state, told)) member.changedAt = now;
  member.state = told;
}

function adoptIncarnation(member: Member, incarnation: number, now: number): void {
  if (incarnation <= member.incarnation) return;
  if (member.incarnation >= 0) member.changedAt = now;
  member.incarnation = incarnation;
  member.heartbeat = null;
}

/**
 * Takes in a heartbeat; false when it is our own, late or doubled, so that nothing in it is
 * new. Any word from a peer clears the failures of calls to its earlier incarnation only:
 * a call that fails one way keeps failing while heartbeats still arrive the other way.
 */
export function recordHeartbeat(
  state: MembershipState,
  heartbeat: Heartbeat,
  now: number,
): boolean {
  const { from, incarnation, sequence } = heartbeat;
  if (from === state.self.id) return false;
  const member = memberOf(state, from);
  if (incarnation < member.incarnation) return false;
  if (incarnation > member.incarnation) member.failures = 0;
  adoptIncarnation(member, incarnation, now);
  if (member.heartbeat !== null && sequence <= member.heartbeat.sequence) return false;
  member.heartbeat = heartbeat;
  member.heardAt = now;
  member.knownAt = now;
  changeState(member, heartbeat.state, now);
  return true;
}

/** Notes that a peer answered a call. */
export function recordAnswer(state: MembershipState, id: string, now: number): void {
  const member = memberOf(state, id);
  member.failures = 0;
  member.heardAt = now;
}

/** Notes that a peer did not answer a call; true when it is now held to be unreachable. */
export function recordSilence(state: MembershipState, id: string, now: number): boolean {
  const member = memberOf(state, id);
  member.failures += 1;
  if (!hasFailed(member)) state.doubted.add(id);
  if (member.state === 'unreachable' || !isUnreachable(member, now)) return false;
  member.knownAt = now;
  changeState(member, 'unreachable', now);
  return true;
}

function recordNews(state: MembershipState, news: MemberNews, now: number): void {
  if (news.id === state.self.id || findVm(state, news.id) === undefined) return;
  const member = memberOf(state, news.id);
  if (news.incarnation < member.incarnation) return;
  const isNewer = news.incarnation > member.incarnation;
  adoptIncarnation(member, news.incarnation, now);
  if (isNewer) {
    member.knownAt = news.heardAt;
    changeState(member, news.state, now);
    return;
  }
  // Leaving is final for an incarnation; all else yields to what we heard ourselves.
  if (member.state === 'leaving') return;
  const isOwnWordOld = now - member.heardAt > OWN_WORD_MS;
  const isBetter = news.heardAt > member.knownAt && isOwnWordOld;
  if (news.state !== 'leaving' && !isBetter) return;
  if (news.state === 'live') member.failures = 0;
  member.knownAt = news.heardAt;
  changeState(member, news.state, now);
}

/** Takes in what a peer has heard of others; only listed VMs count. */
export function recordAllNews(
  state: MembershipState,
  news: readonly MemberNews[],
  now: number,
): void {
  news.forEach((item) => recordNews(state, item, now));
}

/** Forgets members that are neither listed nor lately heard. */
export function forgetMembers(state: MembershipState, now: number): void {
  const listed = new Set(state.list?.vms.map((vm) => vm.id));
  for (const [id, member] of state.members) {
    if (!listed.has(id) && now - member.heardAt > FORGET_MS) state.members.delete(id);
  }
}
