import { tierRank, type Class } from '../types/index.js';
import type { ClassLane, PoolQueue } from './state.js';

/** What the scheduler needs besides the queues to choose the next request of a pool. */
export interface SelectionContext {
  readonly classes: ReadonlyMap<string, Class>;
  /** Epoch milliseconds. */
  readonly now: number;
  /** Returns whether the pool can take another request of a tier; rank 0 is the highest tier. */
  readonly hasCapacity: (rank: number) => boolean;
  /**
   * Returns the factor for a class's minimum share on this VM: the share holds fleet-wide, so a
   * VM with most of the class's demand serves most of it.
   */
  readonly shareFactor: (classId: string) => number;
  /** Returns whether a request of a lane would miss its first-token target by waiting longer. */
  readonly isUrgent: (lane: ClassLane) => boolean;
}

function tierRankOf(lane: ClassLane, classes: ReadonlyMap<string, Class>): number {
  return tierRank(classes.get(lane.classId)?.tier ?? 'background');
}

/** Returns whether `left` is served before `right`, minimum shares aside. */
function isBefore(left: ClassLane, right: ClassLane, classes: ReadonlyMap<string, Class>): boolean {
  const byTier = tierRankOf(left, classes) - tierRankOf(right, classes);
  if (byTier !== 0) return byTier < 0;
  const byCredit = Number(right.burstCredit > 0) - Number(left.burstCredit > 0);
  return byCredit < 0 || (byCredit === 0 && left.virtualTime < right.virtualTime);
}

/**
 * Chooses the lane to serve next, among those with waiting requests whose tier has capacity: the
 * one furthest below its minimum share, unless a request of a higher tier would miss its target
 * by that; else the highest tier, within it a class with burst credit, then the least virtual
 * time.
 */
export function chooseLane(queue: PoolQueue, selection: SelectionContext): ClassLane | undefined {
  const { classes, hasCapacity, isUrgent } = selection;
  let best: ClassLane | undefined;
  let behind: ClassLane | undefined;
  for (const lane of queue.lanes.values()) {
    if (lane.size === 0 || !hasCapacity(tierRankOf(lane, classes))) continue;
    if (best === undefined || isBefore(lane, best, classes)) best = lane;
    if (lane.deficit > 0 && (behind === undefined || lane.deficit > behind.deficit)) behind = lane;
  }
  if (best === undefined || behind === undefined || behind === best) return best;
  const delaysUrgent = [...queue.lanes.values()].some(
    (lane) =>
      lane.size > 0 &&
      tierRankOf(lane, classes) < tierRankOf(behind, classes) &&
      hasCapacity(tierRankOf(lane, classes)) &&
      isUrgent(lane),
  );
  return delaysUrgent ? best : behind;
}
