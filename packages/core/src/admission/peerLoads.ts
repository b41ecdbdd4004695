import type { ClassLoad } from '../types/index.js';
import type { OfferedRates, PeerDemand } from './state.js';

const MS_PER_SECOND = 1000;
const NO_DEMAND: OfferedRates = new Map();

/** Adds the demand that a VM reports in its heartbeat. */
export function recordPeerLoads(
  peers: PeerDemand,
  vmId: string,
  loads: readonly ClassLoad[],
): void {
  peers.reportingVms.add(vmId);
  for (const load of loads) {
    let vms = peers.pools.get(load.pool);
    if (vms === undefined) {
      vms = new Map();
      peers.pools.set(load.pool, vms);
    }
    const offeredRates = vms.get(vmId) ?? new Map<string, number>();
    offeredRates.set(load.classId, load.offeredTokensPerSecond / MS_PER_SECOND);
    vms.set(vmId, offeredRates);
  }
}

/** Removes all reported demand, before the heartbeats are read again. */
export function clearPeerLoads(peers: PeerDemand): void {
  peers.pools.clear();
  peers.reportingVms.clear();
}

/** Returns a VM's demand for a pool; null when the VM has sent no recent heartbeat. */
export function findOfferedRates(
  peers: PeerDemand,
  pool: string,
  vmId: string,
): OfferedRates | null {
  if (!peers.reportingVms.has(vmId)) return null;
  return peers.pools.get(pool)?.get(vmId) ?? NO_DEMAND;
}
