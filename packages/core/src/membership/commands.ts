import type { VmList } from '../types/index.js';
import { createRecheck, type MembershipState } from './state.js';

/** Replaces the VM list by a newer published one; false when it is not newer. */
export function updateVmList(state: MembershipState, list: VmList, now: number): boolean {
  state.listReceivedAt = now;
  if (state.list !== null && list.revision <= state.list.revision) return false;
  state.list = list;
  state.rounds.clear();
  return true;
}

/**
 * Marks this VM as leaving: its heartbeats say so from now on, and new work is refused from
 * `refusesFrom` on, epoch milliseconds.
 */
export function beginLeaving(state: MembershipState, refusesFrom: number): void {
  state.leaving = true;
  state.refusesFrom = refusesFrom;
}

/**
 * Starts a recheck after a long pause of this VM: the table, the list and the peers may have changed.
 */
export function beginRecheck(state: MembershipState, now: number): void {
  state.recheck = createRecheck(now);
}

/** Records that one part of the recheck was read or failed, so that it is no longer awaited. */
export function completeRecheckPart(state: MembershipState, part: 'table' | 'list' | 'peer'): void {
  const { recheck } = state;
  if (recheck === null) return;
  if (part === 'peer') recheck.peers = Math.max(0, recheck.peers - 1);
  else recheck[part] = false;
}

/** Ends the recheck; true when this makes the VM ready for the first time since its start. */
export function endRecheck(state: MembershipState): boolean {
  state.recheck = null;
  const isFirst = !state.ready;
  state.ready = true;
  return isFirst;
}
