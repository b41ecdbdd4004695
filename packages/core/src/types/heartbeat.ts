import type { SheetPosition } from './table.js';

/** Demand and service of one class on one VM since the last heartbeat but one. */
export interface ClassLoad {
  readonly classId: string;
  readonly pool: string;
  readonly waiting: number;
  readonly waitingTokens: number;
  readonly servedTokensPerSecond: number;
  /** What callers asked for, shed or not. */
  readonly offeredTokensPerSecond: number;
}

/** What a VM says of itself. */
export type VmState = 'starting' | 'live' | 'leaving';

/** What a VM has heard of another one; a hint, never authority. */
export interface MemberNews {
  readonly id: string;
  readonly incarnation: number;
  readonly state: VmState | 'unreachable';
  /** Instant of its own last word or of the call that it did not answer, epoch milliseconds. */
  readonly heardAt: number;
}

/** What one VM tells another about itself; a hint, never authority. */
export interface Heartbeat {
  readonly from: string;
  /** Where a VM that knows no list yet may call the sender. */
  readonly peerUrl?: string;
  /** Start instant of the process: a restarted VM is a new incarnation. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: VmState;
  readonly listRevision: number;
  readonly tableRevision: number;
  readonly manifestDigest: string;
  readonly positions: readonly SheetPosition[];
  readonly loads: readonly ClassLoad[];
  /** Crashes of endpoints with a request in flight, the latest first. */
  readonly suspects: readonly {
    readonly fingerprint: string;
    readonly endpointId: string;
    readonly at: number;
    readonly startedAt: number;
    readonly isAlone: boolean;
  }[];
  /** What it heard of others lately. */
  readonly members: readonly MemberNews[];
}
