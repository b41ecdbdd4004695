import type { Heartbeat, MemberNews, Vm, VmList } from '../types/index.js';

/** What was last heard of a peer. */
export interface Member {
  readonly id: string;
  incarnation: number;
  state: MemberNews['state'];
  /** Its newest heartbeat; null when it is known only by hearsay. */
  heartbeat: Heartbeat | null;
  /** Instant of its newest heartbeat or of the newest word of it, epoch milliseconds. */
  heardAt: number;
  /** Instant of the newest evidence of its state, ours or another's. */
  knownAt: number;
  /** Instant of the last change of its state or incarnation. */
  changedAt: number;
  /** Calls to it in a row that had no answer. */
  failures: number;
}

/** Which of the things believed are still to be read again, after a start or a long pause. */
export interface Recheck {
  table: boolean;
  list: boolean;
  /** Peers still to answer, or to fail, before the peers count as asked. */
  peers: number;
  arePeersAsked: boolean;
  /** Reads of the platform that may still be open are not awaited beyond this instant. */
  readonly until: number;
}

/** What this VM knows of the fleet. */
export interface MembershipState {
  readonly self: Vm;
  readonly incarnation: number;
  list: VmList | null;
  listHeardAt: number;
  /** Peers heard of, by id; listed or lately heard, nothing else. */
  readonly members: Map<string, Member>;
  leaving: boolean;
  /** Number of the last heartbeat built. */
  sequence: number;
  nextHeartbeatAt: number;
  /** Earliest instant of the next read of a list that a peer knows to be newer. */
  nextListFetchAt: number;
  /** Peers that did not answer their last call and are called again before any other. */
  readonly doubted: Set<string>;
  /** Peers still to be called in this round, by distance. */
  readonly rounds: Map<Distance, string[]>;
  /** Null when nothing believed may be out of date. */
  recheck: Recheck | null;
  /** True once everything was read for the first time. */
  ready: boolean;
}

/** How far another VM or endpoint is. */
export type Distance = 'zone' | 'region' | 'far';

/** Longest wait for the platform and the peers after a start or a pause. */
export const RECHECK_MS = 3000;

/** Peers that are asked after a start or a pause. */
export const RECHECK_PEERS = 3;

/** Creates what is to be read again at an instant. */
export function createRecheck(now: number): Recheck {
  return {
    table: true,
    list: true,
    peers: RECHECK_PEERS,
    arePeersAsked: false,
    until: now + RECHECK_MS,
  };
}

/** Creates the state of a VM that has seen no list yet. */
export function createMembershipState(self: Vm, incarnation: number): MembershipState {
  return {
    self,
    incarnation,
    list: null,
    listHeardAt: 0,
    members: new Map(),
    leaving: false,
    sequence: 0,
    nextHeartbeatAt: 0,
    nextListFetchAt: 0,
    doubted: new Set(),
    rounds: new Map(),
    recheck: createRecheck(incarnation),
    ready: false,
  };
}
