import { ratePerMs } from '../shared/index.js';
import { allowedPerSecond } from './credits.js';
import type { PeerArrivals, RequestLimitState } from './state.js';
import { updateCredits } from './updateCredits.js';

const MS_PER_SECOND = 1000;

/** Arrivals that every VM counts for at least, so that one without any may answer the next one. */
const MIN_ARRIVALS_PER_SECOND = 0.1;

/** A peer counts for this long after its last message. */
const PEER_SILENCE_MS = 5000;

/** A peer that is leaving counts for this long after its last message. */
const LEAVING_SILENCE_MS = 1000;

/**
 * Silent peers with at most this fraction of all arrivals are dropped: even if they are only cut off
 * from this VM, what they send stays within the limit's tolerance.
 */
const MAX_DROPPED_FRACTION = 1 / 3;

/** Time constant with which the arrivals that are expected of the whole fleet fall. */
const EXPECTED_TIME_CONSTANT_MS = 30_000;

/** Silent peers are dropped after this time in any case; a partition between regions lasts minutes. */
const MAX_SILENCE_MS = 600_000;

/** Returns the requests a second that arrive at this VM for a service. */
export function ownArrivals(
  { arrivals }: RequestLimitState,
  serviceId: string,
  now: number,
): number {
  let perSecond = 0;
  for (const rate of arrivals.get(serviceId)?.values() ?? []) {
    perSecond += ratePerMs(rate, now) * MS_PER_SECOND;
  }
  return perSecond;
}

function isSilent({ heardAt, isLeaving }: PeerArrivals, now: number): boolean {
  return now - heardAt > (isLeaving ? LEAVING_SILENCE_MS : PEER_SILENCE_MS);
}

/** Requests a second for a service: at this VM, at peers that are heard, and at silent ones. */
interface FleetArrivals {
  readonly own: number;
  readonly heard: number;
  readonly silent: number;
}

// Peers that report none, and VMs that must exist but were never heard, count like this VM.
function sumArrivals(
  state: RequestLimitState,
  serviceId: string,
  minVms: number,
  now: number,
): FleetArrivals {
  const own = Math.max(MIN_ARRIVALS_PER_SECOND, ownArrivals(state, serviceId, now));
  let heard = Math.max(0, minVms - 1 - state.peers.size) * own;
  let silent = 0;
  for (const peer of state.peers.values()) {
    const reported = peer.perSecond === null ? own : (peer.perSecond.get(serviceId) ?? 0);
    const weight = Math.max(MIN_ARRIVALS_PER_SECOND, reported);
    if (!isSilent(peer, now)) heard += weight;
    else if (!peer.isLeaving) silent += weight;
  }
  return { own, heard, silent };
}

function areManySilent({ own, heard, silent }: FleetArrivals): boolean {
  return silent > (own + heard + silent) * MAX_DROPPED_FRACTION;
}

function updateExpected(
  { expectedArrivals }: RequestLimitState,
  serviceId: string,
  arrivals: FleetArrivals,
  now: number,
): number {
  const all = arrivals.own + arrivals.heard + arrivals.silent;
  const expected = expectedArrivals.get(serviceId) ?? { perSecond: all, updatedAt: now };
  const weight = 1 - Math.exp((expected.updatedAt - now) / EXPECTED_TIME_CONSTANT_MS);
  const decayed = expected.perSecond + weight * (all - expected.perSecond);
  if (!areManySilent(arrivals)) expected.perSecond = Math.max(all, decayed);
  expected.updatedAt = now;
  expectedArrivals.set(serviceId, expected);
  return expected.perSecond;
}

/**
 * Returns the arrivals of silent peers that still count. Callers of a VM that is gone come to the
 * others, those of a VM that is only cut off from its peers do not: what is missing of the expected
 * arrivals still reaches silent peers.
 */
function countSilent(arrivals: FleetArrivals, expected: number): number {
  if (!areManySilent(arrivals)) return 0;
  return Math.min(arrivals.silent, Math.max(0, expected - arrivals.own - arrivals.heard));
}

/** Updates this VM's fraction of the limits of a service's endpoints, in proportion to arrivals. */
function divideService(
  state: RequestLimitState,
  serviceId: string,
  minVms: number,
  now: number,
): number {
  const arrivals = sumArrivals(state, serviceId, minVms, now);
  const expected = updateExpected(state, serviceId, arrivals, now);
  return arrivals.own / (arrivals.own + arrivals.heard + countSilent(arrivals, expected));
}

/**
 * Updates this VM's shares of all limits; called several times a second. `minVms` is the least
 * number of VMs in the fleet.
 */
export function divideRequestLimits(
  state: RequestLimitState,
  findServiceId: (endpointId: string) => string | undefined,
  minVms: number,
  now: number,
): void {
  const fractions = new Map<string, number>();
  state.limits.forEach((limit, endpointId) => {
    const serviceId = findServiceId(endpointId);
    if (serviceId === undefined || limit.perSecond === null) return;
    const fraction = fractions.get(serviceId) ?? divideService(state, serviceId, minVms, now);
    fractions.set(serviceId, fraction);
    updateCredits(limit, now);
    limit.sharePerSecond = allowedPerSecond(limit) * fraction;
  });
}

/** Removes limits of endpoints that are not known, and what is too old to count. */
export function removeStaleLimits(
  { limits, peers, arrivals, expectedArrivals }: RequestLimitState,
  isKnown: (endpointId: string) => boolean,
  now: number,
): void {
  for (const endpointId of limits.keys()) if (!isKnown(endpointId)) limits.delete(endpointId);
  peers.forEach((peer, peerId) => {
    const hasLeft = peer.isLeaving && isSilent(peer, now);
    if (hasLeft || now - peer.heardAt > MAX_SILENCE_MS) peers.delete(peerId);
  });
  arrivals.forEach((byPriority, serviceId) => {
    byPriority.forEach((rate, priority) => {
      if (now - rate.updatedAt > MAX_SILENCE_MS) byPriority.delete(priority);
    });
    if (byPriority.size === 0) arrivals.delete(serviceId);
  });
  expectedArrivals.forEach(({ updatedAt }, serviceId) => {
    if (now - updatedAt > MAX_SILENCE_MS) expectedArrivals.delete(serviceId);
  });
}
