import { decayedSum, ratePerMs } from '../shared/index.js';
import { currentCredits, timeToCredit, URGENT_RESERVE } from './credits.js';
import type { RequestLimitState } from './state.js';

const MS_PER_SECOND = 1000;

/** More urgent requests that arrive less often than this reserve no credit. */
const MIN_URGENT_PER_SECOND = 0.1;

/** What a VM knows of the limit of one endpoint, for operators. */
export interface RequestLimitDescription {
  /** Requests a second that the endpoint takes from all VMs together. */
  readonly perSecond: number;
  /** Id of the VM that the endpoint last told. */
  readonly toldTo: string;
  /** Time since the endpoint last said so, in milliseconds. */
  readonly ageMs: number;
  /** Requests a second that this VM may send. */
  readonly sharePerSecond: number;
  /** Requests that this VM may send at once. */
  readonly shareCredit: number;
  /** Requests that all VMs may send at once, by what this VM has heard. */
  readonly fleetCredit: number;
  /** This VM's sends over about the last four seconds. */
  readonly sends: number;
}

/** Which endpoints a request may be sent to now, as far as their limits are concerned. */
export interface RequestPermits {
  isPermitted(endpointId: string): boolean;
  /** Time until the endpoint may get the request, in milliseconds. */
  waitMs(endpointId: string): number;
}

/** Permits while no limit is known. */
export const UNLIMITED: RequestPermits = { isPermitted: () => true, waitMs: () => 0 };

function hasMoreUrgent(
  { arrivals }: RequestLimitState,
  serviceId: string,
  priority: number,
  now: number,
): boolean {
  for (const [other, rate] of arrivals.get(serviceId) ?? []) {
    const perSecond = ratePerMs(rate, now) * MS_PER_SECOND;
    if (other < priority && perSecond >= MIN_URGENT_PER_SECOND) return true;
  }
  return false;
}

/** Returns the permits of a request to a service. */
export function createRequestPermits(
  state: RequestLimitState,
  { serviceId, priority }: { readonly serviceId: string; readonly priority: number },
  now: number,
): RequestPermits {
  // Hot path: most of the time no endpoint names a limit.
  if (state.limits.size === 0) return UNLIMITED;
  const isUrgent = !hasMoreUrgent(state, serviceId, priority, now);
  const needed = isUrgent ? 1 : 1 + URGENT_RESERVE;
  const waitMs = (endpointId: string): number => {
    const limit = state.limits.get(endpointId);
    if (limit === undefined || limit.perSecond === null) return 0;
    return timeToCredit(limit, needed, now);
  };
  return { isPermitted: (endpointId) => waitMs(endpointId) === 0, waitMs };
}

/**
 * Returns the time until an endpoint may get a health check, in milliseconds. It needs no credit but
 * takes it, so that requests do not keep it waiting.
 */
export function timeToHealthCheck(
  { limits }: RequestLimitState,
  endpointId: string,
  now: number,
): number {
  const limit = limits.get(endpointId);
  if (limit === undefined || limit.perSecond === null) return 0;
  return timeToCredit(limit, 0, now);
}

/** Returns the requests a second that an endpoint takes from all VMs; null without a known limit. */
export function getRequestLimit({ limits }: RequestLimitState, endpointId: string): number | null {
  return limits.get(endpointId)?.perSecond ?? null;
}

/** Counts the endpoints with a limit. */
export function countLimitedEndpoints({ limits }: RequestLimitState): number {
  let count = 0;
  for (const { perSecond } of limits.values()) if (perSecond !== null) count += 1;
  return count;
}

const roundToHundredth = (value: number) => Math.round(value * 100) / 100;

/** Describes what this VM knows of an endpoint's limit; null without one. */
export function describeRequestLimit(
  state: RequestLimitState,
  endpointId: string,
  now: number,
): RequestLimitDescription | null {
  const limit = state.limits.get(endpointId);
  if (limit === undefined || limit.perSecond === null) return null;
  const { shareCredit, fleetCredit } = currentCredits(limit, now);
  return {
    perSecond: limit.perSecond,
    toldTo: limit.toldTo,
    ageMs: Math.round(now - limit.toldAt),
    sharePerSecond: roundToHundredth(limit.sharePerSecond),
    shareCredit: roundToHundredth(shareCredit),
    fleetCredit: roundToHundredth(fleetCredit),
    sends: roundToHundredth(decayedSum(limit.sends, now)),
  };
}
