import { decayedSum } from '../shared/index.js';
import type { RequestLimitState } from './state.js';

/** What a VM knows of the limit of one endpoint, for operators. */
export interface RequestLimitDescription {
  /** Requests a second that the endpoint takes from all VMs together. */
  readonly perSecond: number;
  /** Id of the VM that the endpoint last told. */
  readonly toldTo: string;
  /** Time since the endpoint last said so, in milliseconds. */
  readonly ageMs: number;
  /** This VM's sends over about the last four seconds. */
  readonly sends: number;
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

/** Describes what this VM knows of an endpoint's limit; null without one. */
export function describeRequestLimit(
  state: RequestLimitState,
  endpointId: string,
  now: number,
): RequestLimitDescription | null {
  const limit = state.limits.get(endpointId);
  if (limit === undefined || limit.perSecond === null) return null;
  return {
    perSecond: limit.perSecond,
    toldTo: limit.toldTo,
    ageMs: Math.round(now - limit.toldAt),
    sends: Math.round(decayedSum(limit.sends, now) * 10) / 10,
  };
}
