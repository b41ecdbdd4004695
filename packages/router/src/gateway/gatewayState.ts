import {
  createBrittlenessState,
  createContactState,
  createDirectoryState,
  createHealthState,
  createPauseState,
  createRequestLimitState,
  createRetryBudget,
  createRoutingState,
  createSchedulingState,
  createSegmentSuspectState,
  createStreamOriginState,
  createSuspectState,
  type BrittlenessState,
  type ContactState,
  type DirectoryState,
  type HealthState,
  type PauseState,
  type Random,
  type RequestLimitState,
  type RetryBudget,
  type RoutingState,
  type SchedulingState,
  type SegmentSuspectState,
  type StreamOriginState,
  type SuspectState,
} from '@filbertlatch/core';

import type { GatewaySettings } from './settings.js';

const MS_PER_SECOND = 1000;

/** Another VM of the fleet, as it describes itself. */
export interface Peer {
  /** Control address, IP:PORT. */
  readonly address: string;
  /** Epoch milliseconds of its last message. */
  readonly heardAt: number;
  /** Version of its configuration; -1 without one. */
  readonly configurationVersion: number;
  /** Store revision that its endpoints reflect; negative before the first read. */
  readonly directoryRevision: number;
  /** False while it cannot reach the store. */
  readonly hasStore: boolean;
  /** True when it reads compressed messages; false for an older software. */
  readonly readsCompressed?: boolean;
  /** True when it answers pings; false for an older software. */
  readonly answersPings?: boolean;
}

/** Mutable state of a gateway, shared by its tasks on one thread. */
export interface GatewayState {
  readonly vmId: string;
  readonly zone: string;
  readonly random: Random;
  readonly routing: RoutingState;
  readonly contacts: ContactState;
  readonly brittleness: BrittlenessState;
  readonly directory: DirectoryState;
  readonly scheduling: SchedulingState;
  readonly health: HealthState;
  readonly pauses: PauseState;
  readonly retryBudget: RetryBudget;
  readonly suspects: SuspectState;
  readonly segmentSuspects: SegmentSuspectState;
  readonly requestLimits: RequestLimitState;
  readonly streamOrigins: StreamOriginState;
  /** The other VMs of the fleet, by VM id. */
  readonly peers: Map<string, Peer>;
  /** The current configuration as published, for peers that cannot reach the store. */
  configurationText: string | null;
  /** True while draining: not ready, and connections close after their answers. */
  isLeaving: boolean;
}

/** A peer counts as a member of the fleet for this long after its last message. */
const PEER_MEMBERSHIP_MS = 15_000;

/** Creates the initial state of a gateway. */
export function createGatewayState(settings: GatewaySettings, random: Random): GatewayState {
  const { ratio, slack, windowSeconds } = settings.repeats;
  const bounds = { ratio, slack, windowMs: windowSeconds * MS_PER_SECOND };
  return {
    vmId: settings.vm.id,
    zone: settings.vm.zone,
    random,
    routing: createRoutingState(),
    contacts: createContactState(),
    brittleness: createBrittlenessState(settings.vm.id),
    directory: createDirectoryState(),
    scheduling: createSchedulingState(settings.vm.id),
    health: createHealthState(),
    pauses: createPauseState(),
    retryBudget: createRetryBudget(bounds),
    suspects: createSuspectState(),
    segmentSuspects: createSegmentSuspectState(),
    requestLimits: createRequestLimitState(settings.vm.id),
    streamOrigins: createStreamOriginState(),
    peers: new Map(),
    configurationText: null,
    isLeaving: false,
  };
}

/**
 * Counts the VMs that share the limits of the fleet: live peers and this one, but no fewer than
 * `seedCount`.
 */
export function countFleetVms(state: GatewayState, seedCount: number, now: number): number {
  let vms = 1;
  for (const { heardAt } of state.peers.values()) {
    if (now - heardAt < PEER_MEMBERSHIP_MS) vms += 1;
  }
  return Math.max(vms, seedCount);
}

/**
 * Returns whether requests can be served: routes and endpoints are known, and no drain has begun.
 */
export function isServing({ routing, directory, isLeaving }: GatewayState): boolean {
  return !isLeaving && routing.configuration !== null && directory.revision >= 0;
}
