import {
  createDirectoryState,
  createHealthState,
  createRetryAllowance,
  createRoutingState,
  createSchedulingState,
  createSuspectState,
  type DirectoryState,
  type HealthState,
  type Random,
  type RetryAllowance,
  type RoutingState,
  type SchedulingState,
  type SuspectState,
} from '@filbertlatch/core';

import type { GatewaySettings } from './settings.js';

const MS_PER_SECOND = 1000;

/** Another VM of the fleet, as its own messages tell. */
export interface Peer {
  /** Control address, IP:PORT. */
  readonly address: string;
  readonly heardAt: number;
  readonly configurationVersion: number;
  readonly directoryRevision: number;
  /** False while the store does not answer it. */
  readonly hasStore: boolean;
}

/** All that one gateway believes; its tasks share it within one thread. */
export interface GatewayState {
  readonly vmId: string;
  readonly zone: string;
  readonly random: Random;
  readonly routing: RoutingState;
  readonly directory: DirectoryState;
  readonly scheduling: SchedulingState;
  readonly health: HealthState;
  readonly retryAllowance: RetryAllowance;
  readonly suspects: SuspectState;
  /** By id. */
  readonly peers: Map<string, Peer>;
  /** The configuration in force as it was published, for peers that cannot read it. */
  configurationText: string | null;
  /** True from the request to stop: not ready, and connections end with their answers. */
  isLeaving: boolean;
  /** True once the balancer sends no more connections: what still comes is turned away. */
  isRejecting: boolean;
}

/** A peer that has told nothing for so long no longer counts. */
const PEER_MEMBERSHIP_MS = 15_000;

/** Creates the state of a gateway that has just started. */
export function createGatewayState(settings: GatewaySettings, random: Random): GatewayState {
  const { ratio, slack, windowSeconds } = settings.repeats;
  const bounds = { ratio, slack, windowMs: windowSeconds * MS_PER_SECOND };
  return {
    vmId: settings.vm.id,
    zone: settings.vm.zone,
    random,
    routing: createRoutingState(),
    directory: createDirectoryState(),
    scheduling: createSchedulingState(settings.vm.id),
    health: createHealthState(),
    retryAllowance: createRetryAllowance(bounds),
    suspects: createSuspectState(),
    peers: new Map(),
    configurationText: null,
    isLeaving: false,
    isRejecting: false,
  };
}

/** Counts the VMs that divide what is bounded for the fleet; no fewer than are in the seeds. */
export function countFleetVms(state: GatewayState, seeds: number, now: number): number {
  let vms = 1;
  for (const { heardAt } of state.peers.values()) {
    if (now - heardAt < PEER_MEMBERSHIP_MS) vms += 1;
  }
  return Math.max(vms, seeds);
}

/** Says whether requests can be served: routes and endpoints are known. */
export function isServing({ routing, directory, isLeaving }: GatewayState): boolean {
  return !isLeaving && routing.configuration !== null && directory.revision >= 0;
}
