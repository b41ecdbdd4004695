import type { Holder, VmList } from '../types/index.js';
import { claimRules, type ClaimRule, type ClaimSettings } from './rules.js';

/** A key that this VM, as a witness, has granted to an attempt. */
export interface Grant extends Holder {
  readonly grantedAt: number;
}

/** A published list, and when this VM went beyond it. */
export interface EarlierList {
  readonly list: VmList;
  /** Since when each VM is known to be on a later list. */
  readonly leftBy: Map<string, number>;
  /** Since when enough others are known to be beyond it too; null: not yet. */
  settledAt: number | null;
}

/** A claim under way on this VM. */
export interface Claim extends Holder {
  readonly key: string;
  readonly region: string;
  readonly issuedAt: number | null;
  readonly startedAt: number;
  /** Revision of the list that it is made under. */
  listRevision: number;
  /** Times that it was made again because lists differed. */
  restarts: number;
  /** Witnesses asked under this list. */
  readonly asked: Set<string>;
  readonly granted: Set<string>;
  /** Witnesses that failed, abstained or hold the key for another. */
  readonly missing: Set<string>;
  /** Attempts that hold the key, one for each witness that named one. */
  readonly holders: Holder[];
}

/** Claims as one VM sees them: as a witness and as a claimant. */
export interface ClaimState {
  readonly selfId: string;
  readonly startedAt: number;
  readonly settings: ClaimSettings;
  readonly enforced: ReadonlySet<ClaimRule>;
  /** False until an older peer has handed its lists over, or the start time is over. */
  hasJoined: boolean;
  isLeaving: boolean;
  list: VmList | null;
  /** Lists that another VM may still claim under, oldest first. */
  earlier: EarlierList[];
  /** Lists up to this revision are settled for good. */
  settledRevision: number;
  readonly grants: Map<string, Grant>;
  readonly claims: Map<string, Claim>;
  /** When each attempt that has won its claim did so, oldest first. */
  readonly won: Map<string, number>;
}

/** Creates the state of a VM that has just started: it remembers no grant. */
export function createClaimState(
  selfId: string,
  settings: ClaimSettings,
  now: number,
  enforced: ReadonlySet<ClaimRule> = new Set(claimRules),
): ClaimState {
  return {
    selfId,
    startedAt: now,
    settings,
    enforced,
    hasJoined: false,
    isLeaving: false,
    list: null,
    earlier: [],
    settledRevision: -1,
    grants: new Map(),
    claims: new Map(),
    won: new Map(),
  };
}
