import type { ClassLoad } from '../types/index.js';
import type { Offers, PeerDemand } from './state.js';

const MS_PER_SECOND = 1000;
const NOTHING: Offers = new Map();

/** Replaces what a VM said of its demand. */
export function recordPeerLoads(
  peers: PeerDemand,
  vmId: string,
  loads: readonly ClassLoad[],
): void {
  peers.heard.add(vmId);
  for (const load of loads) {
    let vms = peers.pools.get(load.pool);
    if (vms === undefined) {
      vms = new Map();
      peers.pools.set(load.pool, vms);
    }
    const offers = vms.get(vmId) ?? new Map<string, number>();
    offers.set(load.classId, load.offeredTokensPerSecond / MS_PER_SECOND);
    vms.set(vmId, offers);
  }
}

/** Forgets what was said, before it is read again. */
export function clearPeerLoads(peers: PeerDemand): void {
  peers.pools.clear();
  peers.heard.clear();
}

/** Returns what a VM offers to a pool; null when it was not heard lately. */
export function offersOf(peers: PeerDemand, pool: string, vmId: string): Offers | null {
  if (!peers.heard.has(vmId)) return null;
  return peers.pools.get(pool)?.get(vmId) ?? NOTHING;
}
