import { hashText, readRate } from '../shared/index.js';
import { PREFILL_BOUND_RATIO } from './costs.js';
import type { Job } from './job.js';
import {
  createWorkLoad,
  isFresh,
  type RouteProfile,
  type SchedulingState,
  type WorkKind,
  type WorkLoad,
} from './state.js';

function kindOfSizes({
  promptTokens,
  outputTokens,
}: Pick<RouteProfile, 'promptTokens' | 'outputTokens'>): 'prefill' | 'decode' {
  return promptTokens > PREFILL_BOUND_RATIO * Math.max(1, outputTokens) ? 'prefill' : 'decode';
}

/** Returns the kind of work that requests of a route are. */
export function kindOfRoute(
  state: SchedulingState,
  { routeId, size }: Pick<Job, 'routeId' | 'size'>,
): WorkKind {
  if (size === null) return 'plain';
  return kindOfSizes(state.profiles.get(routeId) ?? size);
}

/** Returns the work of all VMs at an endpoint, as far as this one knows. */
export function totalLoad(state: SchedulingState, endpointId: string, now: number): WorkLoad {
  const total = createWorkLoad();
  const add = (load: WorkLoad | undefined) => {
    if (load === undefined) return;
    total.waiting += load.waiting;
    total.streaming += load.streaming;
    total.waitingTokens += load.waitingTokens;
    total.heldTokens += load.heldTokens;
    total.tight += load.tight;
  };
  add(state.work.get(endpointId)?.own);
  for (const peer of state.peers.values()) {
    if (isFresh(peer, now)) add(peer.loads.get(endpointId));
  }
  return total;
}

/** Returns this VM's prefill and decode demand for a service, as told to peers. */
export function ownDemand(
  state: SchedulingState,
  serviceId: string,
  now: number,
): readonly [number, number] {
  const demand = state.demand.get(serviceId);
  if (demand === undefined) return [0, 0];
  return [readRate(demand.prefill, now), readRate(demand.decode, now)];
}

/** Returns the prefill and decode demand of all VMs for a service, in engines. */
export function totalDemand(
  state: SchedulingState,
  serviceId: string,
  now: number,
): readonly [number, number] {
  let [prefill, decode] = ownDemand(state, serviceId, now);
  for (const peer of state.peers.values()) {
    const told = isFresh(peer, now) ? peer.demand.get(serviceId) : undefined;
    prefill += told?.[0] ?? 0;
    decode += told?.[1] ?? 0;
  }
  return [prefill, decode];
}

function listProfiles({ profiles }: SchedulingState, serviceId: string): RouteProfile[] {
  return [...profiles.values()].filter((profile) => profile.serviceId === serviceId);
}

/** Returns the kind of a service's work whose requests are the more urgent; null when equal. */
export function moreUrgentKind(state: SchedulingState, serviceId: string): WorkKind | null {
  const most = { prefill: Number.POSITIVE_INFINITY, decode: Number.POSITIVE_INFINITY };
  listProfiles(state, serviceId).forEach((profile) => {
    const kind = kindOfSizes(profile);
    most[kind] = Math.min(most[kind], profile.priority);
  });
  if (most.prefill === most.decode) return null;
  return most.prefill < most.decode ? 'prefill' : 'decode';
}

/** Returns the tightest pause that a service's streams limited by decode may have. */
export function leastGap(state: SchedulingState, serviceId: string): number {
  const gaps = listProfiles(state, serviceId)
    .filter((profile) => kindOfSizes(profile) === 'decode')
    .map(({ gapTargetMs }) => gapTargetMs ?? Number.POSITIVE_INFINITY);
  return Math.min(...gaps);
}

/** Orders endpoints the same way on every VM. */
export function orderEndpoints<T extends { readonly id: string }>(endpoints: readonly T[]): T[] {
  const keyed = endpoints.map((endpoint) => ({ endpoint, key: hashText(endpoint.id) }));
  keyed.sort((a, b) => a.key - b.key || (a.endpoint.id < b.endpoint.id ? -1 : 1));
  return keyed.map(({ endpoint }) => endpoint);
}
