import type { Vm } from '../types/index.js';
import type { MembershipState } from './state.js';

/** Lists the other VMs that are published as live. */
export function listPeers(state: MembershipState): Vm[] {
  return (state.list?.vms ?? []).filter((vm) => vm.id !== state.self.id && vm.state === 'live');
}

/** Counts the published live VMs, this one included; at least 1. */
export function countVms(state: MembershipState): number {
  return Math.max(1, (state.list?.vms ?? []).filter((vm) => vm.state === 'live').length);
}

/** Says whether an endpoint is published as about to stop. */
export function isEndpointLeaving(state: MembershipState, endpointId: string): boolean {
  return state.list?.leavingEndpoints.includes(endpointId) ?? false;
}
