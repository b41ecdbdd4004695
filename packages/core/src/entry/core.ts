import { createAdmissionState, type AdmissionState } from '../admission/index.js';
import {
  createClaimState,
  defaultClaimSettings,
  type ClaimSettings,
  type ClaimState,
} from '../claims/index.js';
import { createHealthState, type HealthState } from '../health/index.js';
import { createLimitState, type LimitState } from '../limits/index.js';
import { createMembershipState, type MembershipState } from '../membership/index.js';
import { createOrdersState, type OrdersState } from '../orders/index.js';
import { createPlacementState, type PlacementState } from '../placement/index.js';
import { createPredictionState, type PredictionState } from '../prediction/index.js';
import type { Random } from '../shared/index.js';
import { createSuspectState, type SuspectState } from '../suspects/index.js';
import { createTableState, type TableState } from '../table/index.js';
import type { Attempt, Request, Verdict, Vm } from '../types/index.js';
import type { CounterName } from './counters.js';

/** Rate of the weight store when the settings give none. */
const DEFAULT_WEIGHTS_BYTES_PER_SECOND = 1e9;

/** A request without a final outcome. */
export interface LiveRequest {
  readonly request: Request;
  /** The attempt in flight, if any. */
  attemptId: string | null;
  /** Attempts started so far, those lost to a split vote excepted. */
  attempts: number;
  /** Output tokens that the caller has received. */
  deliveredTokens: number;
  /** The worst verdict over all attempts so far. */
  verdict: Verdict;
  /** Epoch milliseconds; null before the first token. */
  firstTokenAt: number | null;
  /** The claim under which it may be dispatched, won at `at` (epoch milliseconds). */
  claim?: { readonly attemptId: string; readonly at: number; readonly witnesses: readonly Vm[] };
  /** True when it is dispatched without a claim: it is repeatable and its claim was lost. */
  isClaimExempt?: boolean;
  /** Times that its claim ended in a split vote of the witnesses. */
  splitVotes?: number;
  /** True when the witnesses have shown that no attempt with its key ran before. */
  isProvenFirst?: boolean;
  /** Tokens taken from the limits for it and not settled yet. */
  chargedTokens?: number;
  /** True while its attempt is being cancelled to move it to another endpoint. */
  isMoving?: boolean;
}

/** An attempt in flight. */
export interface LiveAttempt {
  readonly attempt: Attempt;
  /** In output tokens. */
  readonly expectedCost: number;
  /** Output tokens received so far. */
  produced: number;
  /** Epoch milliseconds; null before the first token. */
  firstTokenAt: number | null;
}

/** Settings of a VM that the core uses. */
export interface CoreOptions {
  /** Rate of the weight store, shared by all VMs; 1 GB/s by default. */
  readonly weightsBytesPerSecond?: number;
  readonly claims?: ClaimSettings;
}

/** The complete routing state of one VM. */
export interface Core {
  readonly random: Random;
  readonly table: TableState;
  readonly admission: AdmissionState;
  readonly placement: PlacementState;
  readonly prediction: PredictionState;
  readonly health: HealthState;
  readonly limits: LimitState;
  readonly membership: MembershipState;
  readonly orders: OrdersState;
  readonly suspects: SuspectState;
  readonly claims: ClaimState;
  /** Earliest time of the next list exchange with peers, epoch milliseconds. */
  nextListExchangeAt: number;
  readonly requests: Map<string, LiveRequest>;
  readonly attempts: Map<string, LiveAttempt>;
  /** Retries left, by class. */
  readonly retryBudgets: Map<string, number>;
  readonly counters: Map<CounterName, number>;
  /** Last number that `nextId` used in this incarnation. */
  sequence: number;
}

/** Creates the state of a VM that starts at `now`, epoch milliseconds. */
export function createCore(self: Vm, random: Random, now: number, options: CoreOptions = {}): Core {
  return {
    random,
    table: createTableState(),
    admission: createAdmissionState(),
    placement: createPlacementState(),
    prediction: createPredictionState(),
    health: createHealthState(),
    limits: createLimitState(),
    membership: createMembershipState(self, now),
    orders: createOrdersState(options.weightsBytesPerSecond ?? DEFAULT_WEIGHTS_BYTES_PER_SECOND),
    suspects: createSuspectState(),
    claims: createClaimState(self.id, options.claims ?? defaultClaimSettings, now),
    nextListExchangeAt: 0,
    requests: new Map(),
    attempts: new Map(),
    retryBudgets: new Map(),
    counters: new Map(),
    sequence: 0,
  };
}

/**
 * Returns an id that is unique across VMs and incarnations. The prefix tells what it identifies:
 * `r` a request, `a` an attempt, `c`, `h` (heartbeat) or `l` (lease) a call to a peer.
 */
export function nextId(core: Core, prefix: string): string {
  core.sequence += 1;
  const { self, incarnation } = core.membership;
  return `${prefix}-${self.id}-${incarnation.toString(36)}-${core.sequence.toString(36)}`;
}
