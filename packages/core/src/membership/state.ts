import type { Heartbeat, MemberUpdate, Vm, VmList } from '../types/index.js';

/** What this VM knows of a peer. Instants are epoch milliseconds. */
export interface Member {
  readonly id: string;
  incarnation: number;
  state: MemberUpdate['state'];
  /** Its latest heartbeat; null when it is known only from other peers. */
  heartbeat: Heartbeat | null;
  /** Instant of its latest heartbeat or answer to a call. */
  heardAt: number;
  /** Instant of the latest evidence of its state, direct or from a peer. */
  evidenceAt: number;
  /** Instant of its last change of a kind that heartbeats pass on. */
  gossipedChangeAt: number;
  /** Consecutive calls to it without an answer. */
  failures: number;
}

/** What must still be read after a start or a long pause before this VM dispatches. */
export interface Recheck {
  table: boolean;
  list: boolean;
  /** Number of peers that must still answer or fail. */
  peers: number;
  /** True once calls to peers were sent for this recheck. */
  arePeersAsked: boolean;
  /** Instant after which pending reads and peers are no longer awaited, epoch milliseconds. */
  readonly until: number;
}

/** What this VM knows of the fleet's VMs, itself included. Instants are epoch milliseconds. */
export interface MembershipState {
  readonly self: Vm;
  /** Start instant of this process. */
  readonly incarnation: number;
  /** The newest published VM list; null before the first. */
  list: VmList | null;
  /** Instant of the platform's last answer about the list. */
  listReceivedAt: number;
  /** Known peers by id: listed ones and ones heard from recently. */
  readonly members: Map<string, Member>;
  /** True once this VM has begun to leave the fleet. */
  leaving: boolean;
  /** While leaving, the instant from which new work is refused. */
  refusesFrom: number;
  /** Sequence number of the last heartbeat built. */
  sequence: number;
  /** Instant of the next heartbeat. */
  nextHeartbeatAt: number;
  /** Earliest instant of the next fetch of a list that a peer reports as newer. */
  nextListFetchAt: number;
  /** Ids of peers that did not answer their last call and are called before any other. */
  readonly peersToRetry: Set<string>;
  /** Ids of the peers still to be called in the current round, by distance. */
  readonly rounds: Map<Distance, string[]>;
  /** The recheck in progress; null when there is none. */
  recheck: Recheck | null;
  /** True once the first recheck, after the start, has ended. */
  ready: boolean;
}

/** How far another place is: in the same zone, elsewhere in the region, or in another region. */
export type Distance = 'zone' | 'region' | 'far';

/** Longest time for which a recheck waits for the platform and the peers. */
export const RECHECK_TIMEOUT_MS = 3000;

/** Number of peers asked in a recheck. */
export const RECHECK_PEER_COUNT = 3;

/** Creates a recheck that starts at an instant. */
export function createRecheck(now: number): Recheck {
  return {
    table: true,
    list: true,
    peers: RECHECK_PEER_COUNT,
    arePeersAsked: false,
    until: now + RECHECK_TIMEOUT_MS,
  };
}

/** Creates the membership state of a VM that knows no list yet. */
export function createMembershipState(self: Vm, incarnation: number): MembershipState {
  return {
    self,
    incarnation,
    list: null,
    listReceivedAt: 0,
    members: new Map(),
    leaving: false,
    refusesFrom: 0,
    sequence: 0,
    nextHeartbeatAt: 0,
    nextListFetchAt: 0,
    peersToRetry: new Set(),
    rounds: new Map(),
    recheck: createRecheck(incarnation),
    ready: false,
  };
}
