import {
  announceOffers,
  clearPeerLoads,
  divideSlots,
  offersOf,
  recordPeerLoads,
  type Division,
  type VmDemand,
} from '../admission/index.js';
import { msPerToken, type PoolPart } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import { listLiveVms, type Endpoint, type PoolId } from '../types/index.js';
import type { Core } from './core.js';

/** Peers' loads heard longer ago than this say nothing about now. */
const MAX_LOAD_AGE_MS = 5000;

const REFRESH_INTERVAL_MS = 200;

/** With fewer of the peers heard their demand is not known well enough to divide by it. */
const MIN_HEARD_FRACTION = 0.5;

/** Takes in what the peers said of their queues, at most a few times a second. */
export function refreshPeerDemand(core: Core, now: number): void {
  const { peers } = core.admission;
  if (now - peers.refreshedAt < REFRESH_INTERVAL_MS) return;
  peers.refreshedAt = now;
  announceOffers(core.admission, now);
  clearPeerLoads(peers);
  for (const member of core.membership.members.values()) {
    if (member.heartbeat === null || now - member.heardAt > MAX_LOAD_AGE_MS) continue;
    recordPeerLoads(peers, member.id, member.heartbeat.loads);
  }
}

function listOwnOffers(core: Core, pool: PoolId): Map<string, number> {
  const lanes = core.admission.pools.get(pool)?.lanes.values() ?? [];
  return new Map([...lanes].map((lane) => [lane.classId, lane.announced]));
}

/** Lists the demand of all live VMs, in the order of their ids. */
export function listDemands(core: Core, pool: PoolId): VmDemand[] {
  const { self, list } = core.membership;
  const ids = listLiveVms(list).map((vm) => vm.id);
  if (!ids.includes(self.id)) ids.push(self.id);
  return ids.sort().map((vmId) => {
    const offers =
      vmId === self.id ? listOwnOffers(core, pool) : offersOf(core.admission.peers, pool, vmId);
    return { vmId, offers };
  });
}

type Fraction = Omit<PoolPart, 'refreshedAt'>;

function toFraction(division: Division, at: number): Fraction {
  const before = division.byVm.slice(0, at).reduce((sum, slots) => sum + slots, 0);
  const from = before / division.slots;
  return { from, to: from + division.byVm[at]! / division.slots, followsDemand: true };
}

/** Works out this VM's part of a pool. */
export function computePart(
  core: Core,
  view: TableView,
  pool: PoolId,
  endpoints: readonly Endpoint[],
): Fraction {
  const demands = listDemands(core, pool);
  const at = demands.findIndex(({ vmId }) => vmId === core.membership.self.id);
  const heard = demands.filter(({ offers }) => offers !== null).length;
  if (heard < Math.max(2, demands.length * MIN_HEARD_FRACTION)) {
    const { length } = demands;
    return { from: at / length, to: (at + 1) / length, followsDemand: length === 1 };
  }
  const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
  return toFraction(
    divideSlots(slots, demands, view.classes, msPerToken(core.placement, pool)),
    at,
  );
}

/**
 * Returns by how much a class's share is scaled on this VM: its minimum holds for the whole
 * fleet, so a VM with most of the class's demand owes it most of the fleet's share.
 */
export function shareBoost(core: Core, pool: PoolId, classId: string): number {
  const part = core.placement.parts.get(pool);
  if (part === undefined || !part.followsDemand || part.to <= part.from) return 1;
  const { self } = core.membership;
  let own = 0;
  let all = 0;
  for (const { vmId, offers } of listDemands(core, pool)) {
    const offer = offers?.get(classId) ?? 0;
    all += offer;
    if (vmId === self.id) own = offer;
  }
  if (all === 0) return 1;
  return own / all / (part.to - part.from);
}
