import { rankMembers } from '../shared/index.js';
import { listReachablePeers } from './queries.js';
import type { MembershipState } from './state.js';

/**
 * Says whether this VM watches the platform itself: it is among the first of its zone by
 * rendezvous hashing, of those within reach. All others learn from peers. When a reader is
 * lost, the next takes its place; a VM that knows no list yet reads for itself.
 */
export function isReader(state: MembershipState, readersPerZone: number, now: number): boolean {
  const { self, list } = state;
  if (list === null || !list.vms.some((vm) => vm.id === self.id)) return true;
  const neighbours = listReachablePeers(state, now).filter((vm) => vm.zone === self.zone);
  const ranked = rankMembers('platform-reader', [...neighbours, self]);
  return ranked.slice(0, readersPerZone).some((vm) => vm.id === self.id);
}
