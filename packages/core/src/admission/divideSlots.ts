import { tierRank, tiers, type Class } from '../types/index.js';
import type { OfferedRates } from './state.js';

/** Fraction of an equal share reserved for a VM without a recent heartbeat. */
const SILENT_VM_FRACTION = 0.5;

/** Standard deviations that the slots of a critical class cover above its mean load. */
const CRITICAL_MARGIN_DEVIATIONS = 1;

/** Demand of one VM for a pool; `offers` is null without a recent heartbeat. */
export interface VmDemand {
  readonly vmId: string;
  readonly offers: OfferedRates | null;
}

/** Division of a pool's slots among the VMs. */
export interface SlotDivision {
  /** Number of slots that are divided. */
  readonly slots: number;
  /** Slots of each VM, in the order of the demands; fractions occur. */
  readonly byVm: readonly number[];
}

/** Estimates the slots that a class keeps busy, with a margin for swings when it is critical. */
function estimateSlots(row: Class, costPerMs: number, msPerToken: number): number {
  // Little's law: arrival rate times service time is the mean number of busy slots.
  const busy = costPerMs * msPerToken;
  return tierRank(row.tier) === 0 ? busy + CRITICAL_MARGIN_DEVIATIONS * Math.sqrt(busy) : busy;
}

/** Slots that a class asks for, and those assigned to it so far. */
interface ClassDemand {
  /** Tier rank; 0 is the highest. */
  readonly rank: number;
  readonly share: number;
  /** Slots asked for by each VM, in the order of the demands. */
  readonly byVm: readonly number[];
  readonly total: number;
  assigned: number;
}

function listClassDemands(
  demands: readonly VmDemand[],
  classes: ReadonlyMap<string, Class>,
  msPerToken: number,
): ClassDemand[] {
  const ids = new Set(demands.flatMap(({ offers }) => [...(offers?.keys() ?? [])]));
  return [...ids].flatMap((id) => {
    const row = classes.get(id);
    if (row === undefined) return [];
    const byVm = demands.map(({ offers }) => estimateSlots(row, offers?.get(id) ?? 0, msPerToken));
    const total = byVm.reduce((sum, wanted) => sum + wanted, 0);
    return [{ rank: tierRank(row.tier), share: row.share, byVm, total, assigned: 0 }];
  });
}

/** Assigns slots to a class and splits them among the VMs in proportion to their demand. */
function assignSlots(demand: ClassDemand, slots: number, slotsByVm: number[]): void {
  if (demand.total === 0) return;
  demand.assigned += slots;
  demand.byVm.forEach((wanted, index) => {
    slotsByVm[index]! += (slots * wanted) / demand.total;
  });
}

/**
 * Divides a pool's slots among VMs so that tier priority holds fleet-wide: first each class's
 * minimum share as far as it has demand, then tier by tier in proportion to the VMs' demand;
 * the rest is divided equally. The result depends on the arguments only, so VMs that received
 * the same heartbeats compute the same division.
 */
export function divideSlots(
  slots: number,
  demands: readonly VmDemand[],
  classes: ReadonlyMap<string, Class>,
  msPerToken: number,
): SlotDivision {
  const equalShare = slots / demands.length;
  const slotsByVm = demands.map(({ offers }) =>
    offers === null ? equalShare * SILENT_VM_FRACTION : 0,
  );
  let remaining = slots - slotsByVm.reduce((sum, part) => sum + part, 0);
  const divisible = remaining;
  const classDemands = listClassDemands(demands, classes, msPerToken);
  for (const demand of classDemands) {
    const part = Math.min(demand.total, demand.share * divisible, remaining);
    assignSlots(demand, part, slotsByVm);
    remaining -= part;
  }
  tiers.forEach((_, rank) => {
    const inTier = classDemands.filter((demand) => demand.rank === rank);
    const unmet = inTier.reduce((sum, demand) => sum + demand.total - demand.assigned, 0);
    const part = Math.min(unmet, remaining);
    inTier.forEach((demand) =>
      assignSlots(demand, (part * (demand.total - demand.assigned)) / unmet || 0, slotsByVm),
    );
    remaining -= part;
  });
  const byVm = slotsByVm.map((part) => part + remaining / demands.length);
  return { slots, byVm };
}
