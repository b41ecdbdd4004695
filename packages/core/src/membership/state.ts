import type { Heartbeat, Vm, VmList } from '../types/index.js';

/** What was last heard of a peer. */
export interface Member {
  readonly id: string;
  heartbeat: Heartbeat | null;
  heardAt: number;
}

/** What this VM knows of the fleet. */
export interface MembershipState {
  readonly self: Vm;
  readonly incarnation: number;
  list: VmList | null;
  listHeardAt: number;
  readonly members: Map<string, Member>;
  leaving: boolean;
}

/** Creates the state of a VM that has seen no list yet. */
export function createMembershipState(self: Vm, incarnation: number): MembershipState {
  return { self, incarnation, list: null, listHeardAt: 0, members: new Map(), leaving: false };
}
