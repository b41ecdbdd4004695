import { listLiveVms, type MemberNews, type Vm, type VmState } from '../types/index.js';
import type { Distance, Member, MembershipState } from './state.js';

/** Calls in a row without an answer after which a peer is held to be out of reach. */
const FAILURES_UNREACHABLE = 3;

/** Silence after which a peer that also fails to answer is told to be unreachable. */
const SILENCE_MS = 4000;

/** Time over which a change of a member is told to others. */
const NEWS_MS = 8000;

const MOST_NEWS = 3;

/** Lists the other VMs that are published as live. */
export function listPeers(state: MembershipState): Vm[] {
  return listLiveVms(state.list).filter((vm) => vm.id !== state.self.id);
}

/** Counts the published live VMs, this one included; at least 1. */
export function countVms(state: MembershipState): number {
  return Math.max(1, listLiveVms(state.list).length);
}

/** Says whether an endpoint is published as about to stop. */
export function isEndpointLeaving(state: MembershipState, endpointId: string): boolean {
  return state.list?.leavingEndpoints.includes(endpointId) ?? false;
}

/** Finds a published VM by its id. */
export function findVm(state: MembershipState, id: string): Vm | undefined {
  return state.list?.vms.find((vm) => vm.id === id);
}

/** Says whether calls to a peer have lately failed. */
export function hasFailed(member: Member | undefined): boolean {
  return (member?.failures ?? 0) >= FAILURES_UNREACHABLE;
}

/** Says whether a member neither answers nor has been heard lately. */
export function isUnreachable(member: Member | undefined, now: number): boolean {
  if (member === undefined) return false;
  if (member.state === 'unreachable') return true;
  return hasFailed(member) && now - member.heardAt > SILENCE_MS;
}

/** Lists the published live peers that neither leave nor are out of reach. */
export function listReachablePeers(state: MembershipState, now: number): Vm[] {
  return listPeers(state).filter((vm) => {
    const member = state.members.get(vm.id);
    return member?.state !== 'leaving' && !hasFailed(member) && !isUnreachable(member, now);
  });
}

/** Tells how far another place is from this VM. */
export function distanceTo(
  state: MembershipState,
  place: { readonly zone: string; readonly region: string },
): Distance {
  const { self } = state;
  if (place.region !== self.region) return 'far';
  return place.zone === self.zone ? 'zone' : 'region';
}

/** Returns the address at which other VMs call this one: the published one, if there is one. */
export function ownPeerUrl(state: MembershipState): string {
  return findVm(state, state.self.id)?.peerUrl ?? state.self.peerUrl;
}

/** Tells what this VM says of itself. */
export function ownState(state: MembershipState): VmState {
  if (state.leaving) return 'leaving';
  return state.ready ? 'live' : 'starting';
}

/** Says whether this VM leaves and takes nothing new any more. */
export function isClosed(state: MembershipState, now: number): boolean {
  return state.leaving && now >= state.closesAt;
}

/** Says whether this VM takes work: all was read once, it does not leave and was not paused. */
export function isReady(state: MembershipState): boolean {
  return state.ready && !state.leaving && state.recheck === null;
}

/** Says whether nothing may be dispatched because what is believed may be out of date. */
export function isStale(state: MembershipState): boolean {
  return state.recheck !== null && state.ready;
}

/** Lists the newest changes of members, those that a heartbeat tells. */
export function listNews(state: MembershipState, now: number): MemberNews[] {
  const news: Member[] = [];
  for (const member of state.members.values()) {
    if (now - member.changedAt <= NEWS_MS) news.push(member);
  }
  news.sort((a, b) => b.changedAt - a.changedAt);
  return news.slice(0, MOST_NEWS).map(({ id, incarnation, state: told, knownAt }) => ({
    id,
    incarnation,
    state: told,
    heardAt: Math.round(knownAt),
  }));
}
