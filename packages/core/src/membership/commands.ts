import type { VmList } from '../types/index.js';
import type { MembershipState } from './state.js';

/** Takes in a published list; true when it is newer than the one known. */
export function offerList(state: MembershipState, list: VmList, now: number): boolean {
  state.listHeardAt = now;
  if (state.list !== null && list.revision <= state.list.revision) return false;
  state.list = list;
  return true;
}

/** Marks this VM as leaving: it takes no new work from here on. */
export function beginLeaving(state: MembershipState): void {
  state.leaving = true;
}
