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

/** Fraction of the VMs whose demand must be known for the slots to be divided by demand. */
const MIN_KNOWN_FRACTION = 0.5;

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

/** Returns the rates that this VM advertises to its peers, by class. */
function listOwnAdvertisedRates(core: Core, pool: PoolId): Map<string, number> {
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
        ? listOwnAdvertisedRates(core, pool)
        : findOfferedRates(core.admission.peers, pool, vmId);
    return { vmId, offers };
  });
}

/** This VM's share of each endpoint's slots, as a range within 0 to 1. */
type ShareRange = Omit<PoolShare, 'refreshedAt'>;

function toShareRange(division: SlotDivision, index: number): ShareRange {
  const before = division.byVm.slice(0, index).reduce((sum, slots) => sum + slots, 0);
  const from = before / division.slots;
  return { from, to: from + division.byVm[index]! / division.slots, followsDemand: true };
}

/** Computes this VM's share of a pool: by demand if enough VMs' demand is known, else equal. */
export function computeShareRange(
  core: Core,
  view: TableView,
  pool: PoolId,
  endpoints: readonly Endpoint[],
): ShareRange {
  const demands = listDemands(core, pool);
  const index = demands.findIndex(({ vmId }) => vmId === core.membership.self.id);
  const knownDemands = demands.filter(({ offers }) => offers !== null).length;
  if (knownDemands < Math.max(2, demands.length * MIN_KNOWN_FRACTION)) {
    const { length } = demands;
    return { from: index / length, to: (index + 1) / length, followsDemand: length === 1 };
  }
  const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
  return toShareRange(
    divideSlots(slots, demands, view.classes, msPerToken(core.placement, pool)),
    index,
  );
}

/**
 * Returns the factor on a class's minimum share at this VM. The minimum holds for the whole fleet,
 * so a VM with most of the class's demand must provide most of it.
 */
export function minShareFactor(core: Core, pool: PoolId, classId: string): number {
  const share = core.placement.shares.get(pool);
  if (share === undefined || !share.followsDemand || share.to <= share.from) return 1;
  const { self } = core.membership;
  let ownRate = 0;
  let totalRate = 0;
  for (const { vmId, offers } of listDemands(core, pool)) {
    const rate = offers?.get(classId) ?? 0;
    totalRate += rate;
    if (vmId === self.id) ownRate = rate;
  }
  if (totalRate === 0) return 1;
  return ownRate / totalRate / (share.to - share.from);
}
