import { addPeerLoad, type PeerDemand } from '../admission/index.js';
import { countVms } from '../membership/index.js';
import { readRate } from '../shared/index.js';
import type { PoolId } from '../types/index.js';
import type { Core } from './core.js';

/** Peers' loads heard longer ago than this say nothing about now. */
const OLDEST_LOAD_MS = 4000;

const REFRESH_MS = 200;

/** Sums up what the peers said of their queues, at most a few times a second. */
export function refreshPeerDemand(core: Core, now: number): void {
  const { peers } = core.admission;
  if (now - peers.refreshedAt < REFRESH_MS) return;
  peers.refreshedAt = now;
  peers.pools.clear();
  const classes = core.table.view?.classes;
  if (classes === undefined) return;
  for (const member of core.membership.members.values()) {
    if (member.heartbeat === null || now - member.heardAt > OLDEST_LOAD_MS) continue;
    member.heartbeat.loads.forEach((load) => addPeerLoad(peers, load, classes));
  }
}

/** Returns what the peers said of a pool. */
export function peerDemandOf(core: Core, pool: PoolId): PeerDemand | undefined {
  return core.admission.peers.pools.get(pool);
}

/**
 * Returns by how much a class's share is scaled on this VM: its minimum holds for the whole
 * fleet, so a VM that has most of the class's demand owes it most of the fleet's share.
 */
export function shareBoost(core: Core, pool: PoolId, classId: string, now: number): number {
  const queue = core.admission.pools.get(pool);
  const demand = peerDemandOf(core, pool);
  const lane = queue?.lanes.get(classId);
  if (queue === undefined || lane === undefined || demand === undefined) return 1;
  const own = readRate(queue.served, now);
  if (own === 0) return 1;
  const peersWait = demand.waitingByClass.get(classId) ?? 0;
  const part = lane.cost + peersWait === 0 ? 1 : lane.cost / (lane.cost + peersWait);
  const boost = (part * (own + demand.servedPerMs)) / own;
  return Math.min(boost, countVms(core.membership));
}
