import {
  updateAdvertisedRates,
  clearPeerLoads,
  divideSlots,
  findOfferedRates,
  recordPeerLoads,
  type SlotDivision,
  type VmDemand,
} from '../admission/index.js';
import { msPerToken, type PoolShare } from '../placement/index.js';
import type { TableView } from '../table/index.js';
import { listLiveVms, type Endpoint, type PoolId } from '../types/index.js';
import type { Core } from './core.js';

/** Age after which the loads in a peer's heartbeat are ignored. */
const MAX_LOAD_AGE_MS = 5000;

/** Minimum interval between two updates of the peers' demand. */
const REFRESH_INTERVAL_MS = 200;

/** Fraction of the VMs whose demand must be known before the slots are divided by demand. */
const MIN_HEARD_FRACTION = 0.5;

/** Updates the peers' demand from their latest heartbeats, at most every `REFRESH_INTERVAL_MS`. */
export function refreshPeerDemand(core: Core, now: number): void {
  const { peers } = core.admission;
  if (now - peers.refreshedAt < REFRESH_INTERVAL_MS) return;
  peers.refreshedAt = now;
  updateAdvertisedRates(core.admission, now);
  clearPeerLoads(peers);
  for (const member of core.membership.members.values()) {
    if (member.heartbeat === null || now - member.heardAt > MAX_LOAD_AGE_MS) continue;
    recordPeerLoads(peers, member.id, member.heartbeat.loads);
  }
}

function listOwnOffers(core: Core, pool: PoolId): Map<string, number> {
  const lanes = core.admission.pools.get(pool)?.lanes.values() ?? [];
  return new Map([...lanes].map((lane) => [lane.classId, lane.advertisedRate]));
}

/** Lists the demand of all live VMs, sorted by id; `offers` is null where it is unknown. */
export function listDemands(core: Core, pool: PoolId): VmDemand[] {
  const { self, list } = core.membership;
  const ids = listLiveVms(list).map((vm) => vm.id);
  if (!ids.includes(self.id)) ids.push(self.id);
  return ids.sort().map((vmId) => {
    const offers =
      vmId === self.id
        ? listOwnOffers(core, pool)
        : findOfferedRates(core.admission.peers, pool, vmId);
    return { vmId, offers };
  });
}

/** This VM's part of each endpoint's slots, `from` and `to` being 0 to 1. */
type PartRange = Omit<PoolShare, 'refreshedAt'>;

function toPartRange(division: SlotDivision, index: number): PartRange {
  const before = division.byVm.slice(0, index).reduce((sum, slots) => sum + slots, 0);
  const from = before / division.slots;
  return { from, to: from + division.byVm[index]! / division.slots, followsDemand: true };
}

/** Computes this VM's part of a pool: by demand when enough VMs' demand is known, else equal. */
export function computePartRange(
  core: Core,
  view: TableView,
  pool: PoolId,
  endpoints: readonly Endpoint[],
): PartRange {
  const demands = listDemands(core, pool);
  const index = demands.findIndex(({ vmId }) => vmId === core.membership.self.id);
  const heard = demands.filter(({ offers }) => offers !== null).length;
  if (heard < Math.max(2, demands.length * MIN_HEARD_FRACTION)) {
    const { length } = demands;
    return { from: index / length, to: (index + 1) / length, followsDemand: length === 1 };
  }
  const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
  return toPartRange(
    divideSlots(slots, demands, view.classes, msPerToken(core.placement, pool)),
    index,
  );
}

/**
 * Returns the factor on a class's minimum share at this VM. The minimum holds for the whole fleet,
 * so a VM with most of the class's demand has to provide most of it.
 */
export function shareBoost(core: Core, pool: PoolId, classId: string): number {
  const part = core.placement.shares.get(pool);
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
