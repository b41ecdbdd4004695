import { hashText, ratePerMs } from '../shared/index.js';
import { engineMs, PREFILL_BOUND_RATIO } from './costs.js';
import type { Job } from './job.js';
import {
  createWorkLoad,
  isFreshReport,
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

/** Returns the kind of work of a request, judged by the average sizes of its route. */
export function kindOfRoute(
  state: SchedulingState,
  { routeId, size }: Pick<Job, 'routeId' | 'size'>,
): WorkKind {
  if (size === null) return 'plain';
  return kindOfSizes(state.profiles.get(routeId) ?? size);
}

/** Returns the load of an endpoint, summed over this VM and the peers with fresh reports. */
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
    if (isFreshReport(peer, now)) add(peer.loads.get(endpointId));
  }
  return total;
}

/** Time within which an endpoint for a trial was heard, where one was; it may have ended since. */
const TRIAL_CONTACT_MS = 1000;

function listIdleHalf<T extends { readonly id: string }>(
  state: SchedulingState,
  endpoints: readonly T[],
  now: number,
): T[] {
  const requests = endpoints.map(({ id }) => {
    const { waiting, streaming } = totalLoad(state, id, now);
    return waiting + streaming;
  });
  const median = [...requests].sort((a, b) => a - b)[Math.floor((requests.length - 1) / 2)];
  return endpoints.filter((_, index) => requests[index]! <= median!);
}

/**
 * Lists the endpoints for a trial: of the half with fewer requests those that were heard lately. A
 * trial at one that has ended unnoticed fails, and its segments stay refused.
 */
export function listTrialEndpoints<T extends { readonly id: string }>(
  state: SchedulingState,
  endpoints: readonly T[],
  heardAt: (endpointId: string) => number,
  now: number,
): T[] {
  const idle = listIdleHalf(state, endpoints, now);
  const heard = idle.filter(({ id }) => heardAt(id) >= now - TRIAL_CONTACT_MS);
  return heard.length > 0 ? heard : idle;
}

/** Returns the prefill and decode demand that this VM saw for a service, in engines. */
export function ownDemand(
  state: SchedulingState,
  serviceId: string,
  now: number,
): readonly [number, number] {
  const demand = state.demand.get(serviceId);
  if (demand === undefined) return [0, 0];
  return [ratePerMs(demand.prefill, now), ratePerMs(demand.decode, now)];
}

/** Returns the prefill and decode demand for a service, summed over all VMs, in engines. */
export function totalDemand(
  state: SchedulingState,
  serviceId: string,
  now: number,
): readonly [number, number] {
  let [prefill, decode] = ownDemand(state, serviceId, now);
  for (const peer of state.peers.values()) {
    const peerDemand = isFreshReport(peer, now) ? peer.demand.get(serviceId) : undefined;
    prefill += peerDemand?.[0] ?? 0;
    decode += peerDemand?.[1] ?? 0;
  }
  return [prefill, decode];
}

/**
 * Returns how many decode-bound requests like one of this route peers have probably sent since
 * their latest reports.
 */
export function unseenDecodeRequests(
  { peers, profiles }: SchedulingState,
  { routeId, serviceId, slots }: Pick<Job, 'routeId' | 'serviceId' | 'slots'>,
  now: number,
): number {
  const profile = profiles.get(routeId);
  if (profile === undefined || slots === null) return 0;
  let unseenMs = 0;
  for (const peer of peers.values()) {
    if (!isFreshReport(peer, now)) continue;
    unseenMs += (peer.demand.get(serviceId)?.[1] ?? 0) * (now - peer.at);
  }
  return unseenMs / engineMs(profile, profile.unsharedTokens, slots);
}

function listProfiles({ profiles }: SchedulingState, serviceId: string): RouteProfile[] {
  return [...profiles.values()].filter((profile) => profile.serviceId === serviceId);
}

/** Returns the kind of work that has a service's most urgent route; null when both are equal. */
export function moreUrgentKind(state: SchedulingState, serviceId: string): WorkKind | null {
  const lowestRanks = { prefill: Number.POSITIVE_INFINITY, decode: Number.POSITIVE_INFINITY };
  listProfiles(state, serviceId).forEach((profile) => {
    const kind = kindOfSizes(profile);
    lowestRanks[kind] = Math.min(lowestRanks[kind], profile.priority);
  });
  if (lowestRanks.prefill === lowestRanks.decode) return null;
  return lowestRanks.prefill < lowestRanks.decode ? 'prefill' : 'decode';
}

/** Returns the smallest gap target of a service's decode-bound routes; Infinity without any. */
export function minGapTargetMs(state: SchedulingState, serviceId: string): number {
  const gaps = listProfiles(state, serviceId)
    .filter((profile) => kindOfSizes(profile) === 'decode')
    .map(({ gapTargetMs }) => gapTargetMs ?? Number.POSITIVE_INFINITY);
  return Math.min(...gaps);
}

/** Hot path: each placement orders all endpoints, and hashing takes most of its time. */
const idHashes = new WeakMap<object, number>();

function hashOfId(endpoint: { readonly id: string }): number {
  let hash = idHashes.get(endpoint);
  if (hash === undefined) {
    hash = hashText(endpoint.id);
    idHashes.set(endpoint, hash);
  }
  return hash;
}

/** Returns the endpoints in the order of their ids' hashes, which is the same on every VM. */
export function orderByIdHash<T extends { readonly id: string }>(endpoints: readonly T[]): T[] {
  const keyed = endpoints.map((endpoint) => ({ endpoint, key: hashOfId(endpoint) }));
  keyed.sort((a, b) => a.key - b.key || (a.endpoint.id < b.endpoint.id ? -1 : 1));
  return keyed.map(({ endpoint }) => endpoint);
}
