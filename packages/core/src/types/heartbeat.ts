import type { SheetPosition } from './table.js';

/** Demand for one class in one pool on one VM, and the service it got lately. */
export interface ClassLoad {
  readonly classId: string;
  readonly pool: string;
  /** Number of waiting requests. */
  readonly waiting: number;
  readonly waitingTokens: number;
  readonly servedTokensPerSecond: number;
  /** Rate of tokens that callers asked for, shed requests included. */
  readonly offeredTokensPerSecond: number;
}

/** State that a VM reports of itself. */
export type VmState = 'starting' | 'live' | 'leaving';

/** State of another VM that a heartbeat passes on; a hint, never authoritative. */
export interface MemberUpdate {
  readonly id: string;
  readonly incarnation: number;
  readonly state: VmState | 'unreachable';
  /** Instant of its last heartbeat or of the call that it did not answer, epoch milliseconds. */
  readonly heardAt: number;
}

/** State of a VM that it gossips to its peers; a hint, never authoritative. */
export interface Heartbeat {
  readonly from: string;
  /** URL of the sender, for a VM that knows no list yet. */
  readonly peerUrl?: string;
  /** Start instant of the process, epoch milliseconds: higher after each restart. */
  readonly incarnation: number;
  /** Rises with each heartbeat of an incarnation. */
  readonly sequence: number;
  readonly state: VmState;
  readonly listRevision: number;
  readonly tableRevision: number;
  readonly manifestDigest: string;
  readonly positions: readonly SheetPosition[];
  readonly loads: readonly ClassLoad[];
  /** Crashes of endpoints while a request was in flight; in turn when there are too many. */
  readonly suspects: readonly {
    readonly fingerprint: string;
    readonly endpointId: string;
    /** Instant of the crash, epoch milliseconds. */
    readonly at: number;
    /** Instant at which the attempt was sent, epoch milliseconds. */
    readonly startedAt: number;
    /** Whether the request ran in isolation. */
    readonly isAlone: boolean;
  }[];
  /** Recent changes of other VMs. */
  readonly members: readonly MemberUpdate[];
}
