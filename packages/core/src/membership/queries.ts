import { listLiveVms, type MemberUpdate, type Vm, type VmState } from '../types/index.js';
import type { Distance, Member, MembershipState } from './state.js';

/** Consecutive unanswered calls after which calls to a peer count as failing. */
const FAILING_CALL_COUNT = 3;

/** Silence after which a peer whose calls fail counts as unreachable. */
const UNREACHABLE_AFTER_MS = 4000;

/** Time for which heartbeats pass on a change of a member. */
const GOSSIP_DURATION_MS = 8000;

/** Maximum number of member updates in one heartbeat. */
const MAX_MEMBER_UPDATES = 3;

/** Lists the other VMs that are published as live, reachable or not. */
export function listPeers(state: MembershipState): Vm[] {
  return listLiveVms(state.list).filter((vm) => vm.id !== state.self.id);
}

/** Counts the VMs published as live, this one included; at least 1. */
export function countLiveVms(state: MembershipState): number {
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

/** Says whether calls to a peer are failing: the last few in a row had no answer. */
export function hasFailingCalls(member: Member | undefined): boolean {
  return (member?.failures ?? 0) >= FAILING_CALL_COUNT;
}

/** Says whether a member is marked unreachable, or neither answers nor was heard from recently. */
export function isUnreachable(member: Member | undefined, now: number): boolean {
  if (member === undefined) return false;
  if (member.state === 'unreachable') return true;
  return hasFailingCalls(member) && now - member.heardAt > UNREACHABLE_AFTER_MS;
}

/** Lists the peers published as live that are reachable and not leaving. */
export function listReachablePeers(state: MembershipState, now: number): Vm[] {
  return listPeers(state).filter((vm) => {
    const member = state.members.get(vm.id);
    return member?.state !== 'leaving' && !hasFailingCalls(member) && !isUnreachable(member, now);
  });
}

/** Returns how far a place is from this VM. */
export function distanceTo(
  state: MembershipState,
  place: { readonly zone: string; readonly region: string },
): Distance {
  const { self } = state;
  if (place.region !== self.region) return 'far';
  return place.zone === self.zone ? 'zone' : 'region';
}

/** Returns the URL at which other VMs call this one: the published one, else its own setting. */
export function ownPeerUrl(state: MembershipState): string {
  return findVm(state, state.self.id)?.peerUrl ?? state.self.peerUrl;
}

/** Returns the state that this VM reports in its heartbeats. */
export function ownVmState(state: MembershipState): VmState {
  if (state.leaving) return 'leaving';
  return state.ready ? 'live' : 'starting';
}

/** Says whether this VM is leaving and refuses new work. */
export function hasStoppedAccepting(state: MembershipState, now: number): boolean {
  return state.leaving && now >= state.refusesFrom;
}

/**
 * Says whether this VM takes work: it has read everything once, is not leaving and awaits no
 * recheck.
 */
export function isReady(state: MembershipState): boolean {
  return state.ready && !state.leaving && state.recheck === null;
}

/**
 * Says whether a VM that was ready may not dispatch: what it knows may be out of date until its
 * recheck ends.
 */
export function isAwaitingRecheck(state: MembershipState): boolean {
  return state.recheck !== null && state.ready;
}

/** Lists the latest changes of members, newest first, for a heartbeat. */
export function listMemberUpdates(state: MembershipState, now: number): MemberUpdate[] {
  const changed: Member[] = [];
  for (const member of state.members.values()) {
    if (now - member.gossipedChangeAt <= GOSSIP_DURATION_MS) changed.push(member);
  }
  changed.sort((a, b) => b.gossipedChangeAt - a.gossipedChangeAt);
  return changed
    .slice(0, MAX_MEMBER_UPDATES)
    .map(({ id, incarnation, state: memberState, evidenceAt }) => ({
      id,
      incarnation,
      state: memberState,
      heardAt: Math.round(evidenceAt),
    }));
}
