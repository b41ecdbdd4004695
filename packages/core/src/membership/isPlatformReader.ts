import { rankMembers } from '../shared/index.js';
import { listReachablePeers } from './queries.js';
import type { MembershipState } from './state.js';

/**
 * Says whether this VM reads the platform itself: it is among the first `readersPerZone` reachable
 * VMs of its zone by rendezvous hashing. The others get what is published from peers. When a reader
 * is lost, the next in rank replaces it. A VM that knows no list, or is not in it, reads for itself
 * too.
 */
export function isPlatformReader(
  state: MembershipState,
  readersPerZone: number,
  now: number,
): boolean {
  const { self, list } = state;
  if (list === null || !list.vms.some((vm) => vm.id === self.id)) return true;
  const neighbours = listReachablePeers(state, now).filter((vm) => vm.zone === self.zone);
  const ranked = rankMembers('platform-reader', [...neighbours, self]);
  return ranked.slice(0, readersPerZone).some((vm) => vm.id === self.id);
}
