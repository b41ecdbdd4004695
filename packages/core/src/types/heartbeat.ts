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

/** What one VM tells another about itself; a hint, never authority. */
export interface Heartbeat {
  readonly from: string;
  /** Start instant of the process: a restarted VM is a new incarnation. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: 'starting' | 'live' | 'leaving';
  readonly listRevision: number;
  readonly tableRevision: number;
  readonly manifestDigest: string;
  readonly positions: readonly SheetPosition[];
  readonly loads: readonly ClassLoad[];
  /** Fingerprints suspected of crashing endpoints, with the instant suspicion began. */
  readonly suspects: readonly { readonly fingerprint: string; readonly since: number }[];
  /** What it heard of others lately. */
  readonly members: readonly {
    readonly id: string;
    readonly incarnation: number;
    readonly state: 'starting' | 'live' | 'leaving' | 'unreachable';
    readonly heardAt: number;
  }[];
}
