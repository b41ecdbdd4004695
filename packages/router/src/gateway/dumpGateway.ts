import {
  configurationVersion,
  describeRequestLimit,
  describeSegments,
  kindOfRoute,
  getHealthPhase,
  totalDemand,
  totalLoad,
} from '@filbertlatch/core';

import type { MemoryAccount } from '../memory/index.js';
import { isServing, type GatewayState } from './gatewayState.js';

/** State of a gateway as JSON, for operators. */
export type GatewayDump = ReturnType<typeof dumpGateway>;

/** Creates a dump of the state; contains no keys, prompts or bodies. */
export function dumpGateway(
  state: GatewayState,
  memory: MemoryAccount,
  openRequests: number,
  now: number,
) {
  const { routing, directory, scheduling, health, peers } = state;
  const { configuration } = routing;
  return {
    vm: state.vmId,
    zone: state.zone,
    isReady: isServing(state),
    isLeaving: state.isLeaving,
    openRequests,
    memory: {
      limitBytes: memory.limitBytes,
      heldBytes: memory.heldBytes,
      byKind: { ...memory.bytesByKind },
    },
    configurationVersion: configurationVersion(routing),
    directoryRevision: directory.revision,
    isStoreLost: directory.isStoreLost,
    routes: (configuration?.routes ?? []).map((route) => ({
      ...route,
      work: kindOfRoute(scheduling, { routeId: route.id, size: null }),
      sizes: scheduling.profiles.get(route.id) ?? null,
    })),
    services: [...(configuration?.services.values() ?? [])].map((service) => ({
      ...service,
      demand: totalDemand(scheduling, service.id, now),
    })),
    endpoints: [...directory.endpoints.values()].map((endpoint) => ({
      ...endpoint,
      isMissing: directory.lapsed.has(endpoint.id),
      health: getHealthPhase(health, endpoint.id),
      limit: describeRequestLimit(state.requestLimits, endpoint.id, now),
      load: totalLoad(scheduling, endpoint.id, now),
      own: scheduling.work.get(endpoint.id) ?? null,
    })),
    segmentSuspects: describeSegments(state.segmentSuspects, now),
    peers: [...peers].map(([id, peer]) => ({ id, ...peer, ageMs: Math.round(now - peer.heardAt) })),
  };
}
