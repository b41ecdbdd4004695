import { tierRank, type Class } from '../types/index.js';
import type { Lane, PoolQueue } from './state.js';

/** What the choice of the next request depends on besides the queues. */
export interface Selection {
  readonly classes: ReadonlyMap<string, Class>;
  readonly now: number;
  /** Says whether the pool has room for a tier now, by its rank. */
  readonly hasRoom: (rank: number) => boolean;
  /** Scales a class's share to this VM's part of the class's demand in the fleet. */
  readonly shareBoost: (classId: string) => number;
  /** Says whether a request of a lane would miss its window if it waited longer. */
  readonly isUrgent: (lane: Lane) => boolean;
}

function rankOf(lane: Lane, classes: ReadonlyMap<string, Class>): number {
  return tierRank(classes.get(lane.classId)?.tier ?? 'background');
}

function isBefore(left: Lane, right: Lane, classes: ReadonlyMap<string, Class>): boolean {
  const byTier = rankOf(left, classes) - rankOf(right, classes);
  if (byTier !== 0) return byTier < 0;
  const byCredit = Number(right.credit > 0) - Number(left.credit > 0);
  return byCredit < 0 || (byCredit === 0 && left.virtualTime < right.virtualTime);
}

/**
 * Chooses the lane to serve next: one that is owed a part of its minimum share, unless a
 * request of a higher tier would miss its window by that; else the highest tier, in it a class
 * that stays within its share, then the least virtual time.
 */
export function chooseLane(queue: PoolQueue, selection: Selection): Lane | undefined {
  const { classes, hasRoom, isUrgent } = selection;
  let first: Lane | undefined;
  let owed: Lane | undefined;
  for (const lane of queue.lanes.values()) {
    if (lane.size === 0 || !hasRoom(rankOf(lane, classes))) continue;
    if (first === undefined || isBefore(lane, first, classes)) first = lane;
    if (lane.owed > 0 && (owed === undefined || lane.owed > owed.owed)) owed = lane;
  }
  if (first === undefined || owed === undefined || owed === first) return first;
  const isHeldUp = [...queue.lanes.values()].some(
    (lane) =>
      lane.size > 0 &&
      rankOf(lane, classes) < rankOf(owed, classes) &&
      hasRoom(rankOf(lane, classes)) &&
      isUrgent(lane),
  );
  return isHeldUp ? first : owed;
}
