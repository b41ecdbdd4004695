import type { KeyHolder, VmList } from '../types/index.js';
import { claimRules, type ClaimRule, type ClaimSettings } from './rules.js';

/** Grant of a key to an attempt by this VM as a witness. */
export interface Grant extends KeyHolder {
  /** Epoch milliseconds. */
  readonly grantedAt: number;
}

/** An earlier VM list, and which VMs are known to be on a later one. */
export interface EarlierList {
  readonly list: VmList;
  /** Instant from which each VM is known to be on a later list, by VM id; epoch milliseconds. */
  readonly leftBy: Map<string, number>;
  /** Instant from which no majority of witnesses can grant under it; null while one still can. */
  supersededAt: number | null;
}

/** A claim in progress on this VM. */
export interface Claim extends KeyHolder {
  readonly key: string;
  /** Home region of the key's account, whose VMs are its witnesses. */
  readonly region: string;
  /** When the caller issued the key, epoch milliseconds; null when the key does not say. */
  readonly issuedAt: number | null;
  /** Epoch milliseconds. */
  readonly startedAt: number;
  /** Revision of the VM list that selects the witnesses. */
  listRevision: number;
  /** Restarts because a witness had a newer list. */
  restarts: number;
  /** Ids of the witnesses asked since the last restart. */
  readonly askedWitnesses: Set<string>;
  /** Ids of the witnesses that granted the key since the last restart. */
  readonly granted: Set<string>;
  /** Ids of witnesses that failed, abstained or granted the key to another attempt. */
  readonly notGranting: Set<string>;
  /** Attempts that hold the key, one entry for each witness that named one. */
  readonly holders: KeyHolder[];
}

/** Claim state of one VM, both as a witness and as a claimant. */
export interface ClaimState {
  readonly selfId: string;
  /** Start instant of this VM, epoch milliseconds. */
  readonly startedAt: number;
  readonly settings: ClaimSettings;
  /** All rules, except in the state search. */
  readonly enforcedRules: ReadonlySet<ClaimRule>;
  /** True once a peer that has joined has handed its lists over. */
  hasJoined: boolean;
  /** True while this VM leaves the fleet and no longer grants keys. */
  isLeaving: boolean;
  /** The newest VM list known; null before the first. */
  list: VmList | null;
  /** Lists before the current one that another VM may still claim under, oldest first. */
  earlierLists: EarlierList[];
  /** No key can be claimed any more under lists up to this revision; -1 at first. */
  retiredRevision: number;
  /** Grants by key, oldest first. */
  readonly grants: Map<string, Grant>;
  /** Claims in progress, by attempt id. */
  readonly claims: Map<string, Claim>;
  /**
   * Instant at which each attempt won its claim, by attempt id, oldest first; epoch milliseconds.
   */
  readonly wonAtByAttempt: Map<string, number>;
}

/** Creates the claim state of a VM that has just started and knows no grant. */
export function createClaimState(
  selfId: string,
  settings: ClaimSettings,
  now: number,
  enforcedRules: ReadonlySet<ClaimRule> = new Set(claimRules),
): ClaimState {
  return {
    selfId,
    startedAt: now,
    settings,
    enforcedRules,
    hasJoined: false,
    isLeaving: false,
    list: null,
    earlierLists: [],
    retiredRevision: -1,
    grants: new Map(),
    claims: new Map(),
    wonAtByAttempt: new Map(),
  };
}
