import type { VmList } from '../types/index.js';
import { createRecheck, type MembershipState } from './state.js';

/** Takes in a published list; true when it is newer than the one known. */
export function offerList(state: MembershipState, list: VmList, now: number): boolean {
  state.listHeardAt = now;
  if (state.list !== null && list.revision <= state.list.revision) return false;
  state.list = list;
  state.rounds.clear();
  return true;
}

/** Marks this VM as leaving: it says so at once, and takes no new work from an instant on. */
export function beginLeaving(state: MembershipState, closesAt: number): void {
  state.leaving = true;
  state.closesAt = closesAt;
}

/** Marks everything believed as possibly out of date, after a long pause. */
export function beginRecheck(state: MembershipState, now: number): void {
  state.recheck = createRecheck(now);
}

/** Notes that one thing believed was read again, or that its read failed. */
export function noteRecheck(state: MembershipState, part: 'table' | 'list' | 'peer'): void {
  const { recheck } = state;
  if (recheck === null) return;
  if (part === 'peer') recheck.peers = Math.max(0, recheck.peers - 1);
  else recheck[part] = false;
}

/** Ends the recheck; true when this made the VM ready for the first time. */
export function endRecheck(state: MembershipState): boolean {
  state.recheck = null;
  const first = !state.ready;
  state.ready = true;
  return first;
}
