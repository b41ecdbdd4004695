import { tierRank, tiers, type Class } from '../types/index.js';
import type { Offers } from './state.js';

/** Part of an equal share that is set aside for a VM that was not heard. */
const UNHEARD_PART = 0.5;

/** Standard deviations of a critical class's load that its slots cover. */
const CRITICAL_MARGIN = 1;

/** Demand of one VM for a pool; `offers` is null when it was not heard. */
export interface VmDemand {
  readonly vmId: string;
  readonly offers: Offers | null;
}

/** How a pool's slots are divided among VMs. */
export interface Division {
  readonly slots: number;
  /** Slots of each VM, in the order of the demands. */
  readonly byVm: readonly number[];
}

/** Slots that a class keeps busy, with room for its swings when it is critical. */
function slotsWanted(row: Class, costPerMs: number, msPerToken: number): number {
  const busy = costPerMs * msPerToken;
  return tierRank(row.tier) === 0 ? busy + CRITICAL_MARGIN * Math.sqrt(busy) : busy;
}

interface Want {
  readonly rank: number;
  readonly share: number;
  readonly byVm: readonly number[];
  readonly total: number;
  given: number;
}

function listWants(
  demands: readonly VmDemand[],
  classes: ReadonlyMap<string, Class>,
  msPerToken: number,
): Want[] {
  const ids = new Set(demands.flatMap(({ offers }) => [...(offers?.keys() ?? [])]));
  return [...ids].flatMap((id) => {
    const row = classes.get(id);
    if (row === undefined) return [];
    const byVm = demands.map(({ offers }) => slotsWanted(row, offers?.get(id) ?? 0, msPerToken));
    const total = byVm.reduce((sum, wanted) => sum + wanted, 0);
    return [{ rank: tierRank(row.tier), share: row.share, byVm, total, given: 0 }];
  });
}

function give(want: Want, slots: number, given: number[]): void {
  if (want.total === 0) return;
  want.given += slots;
  want.byVm.forEach((wanted, at) => {
    given[at]! += (slots * wanted) / want.total;
  });
}

/**
 * Divides a pool's slots among VMs, so that the order of tiers holds over the whole fleet:
 * first each class's minimum share as far as it asks for it, then tier by tier in proportion
 * to what the VMs' callers ask for; what is left goes to all alike. Every VM that heard the
 * same gets the same division.
 */
export function divideSlots(
  slots: number,
  demands: readonly VmDemand[],
  classes: ReadonlyMap<string, Class>,
  msPerToken: number,
): Division {
  const equal = slots / demands.length;
  const given = demands.map(({ offers }) => (offers === null ? equal * UNHEARD_PART : 0));
  let left = slots - given.reduce((sum, part) => sum + part, 0);
  const pool = left;
  const wants = listWants(demands, classes, msPerToken);
  for (const want of wants) {
    const part = Math.min(want.total, want.share * pool, left);
    give(want, part, given);
    left -= part;
  }
  tiers.forEach((_, rank) => {
    const own = wants.filter((want) => want.rank === rank);
    const missing = own.reduce((sum, want) => sum + want.total - want.given, 0);
    const part = Math.min(missing, left);
    own.forEach((want) => give(want, (part * (want.total - want.given)) / missing || 0, given));
    left -= part;
  });
  const byVm = given.map((part) => part + left / demands.length);
  return { slots, byVm };
}
