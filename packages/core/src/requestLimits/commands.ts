import { addToRate } from '../shared/index.js';
import { createRequestLimit, type RequestLimitState } from './state.js';

/** An answer of an endpoint, as far as limits are concerned. */
export interface AnsweredRequest {
  readonly endpointId: string;
  /** Time at which the request was sent; epoch milliseconds. */
  readonly sentAt: number;
}

/**
 * Records that an answer names a limit; returns whether that changes the limit. Answers may overtake
 * each other, so a higher limit counts only in the answer to a request sent since the lower one.
 */
export function recordNamedLimit(
  state: RequestLimitState,
  { endpointId, sentAt }: AnsweredRequest,
  perSecond: number,
  now: number,
): boolean {
  const limit = state.limits.get(endpointId);
  if (limit === undefined) {
    state.limits.set(endpointId, createRequestLimit(perSecond, state.vmId, now));
    return true;
  }
  const isHigher = limit.perSecond !== null && perSecond > limit.perSecond;
  if (isHigher && sentAt < limit.changedAt) return false;
  const isChange = limit.perSecond !== perSecond;
  if (isChange) limit.changedAt = now;
  limit.perSecond = perSecond;
  limit.toldAt = now;
  limit.toldTo = state.vmId;
  return isChange;
}

/**
 * Records that a successful answer names no limit; returns whether that ends one. Only the answer to
 * a request sent since the limit was named does.
 */
export function recordUnlimitedAnswer(
  state: RequestLimitState,
  { endpointId, sentAt }: AnsweredRequest,
  now: number,
): boolean {
  const limit = state.limits.get(endpointId);
  if (limit === undefined || sentAt < limit.changedAt) return false;
  const isChange = limit.perSecond !== null;
  if (isChange) limit.changedAt = now;
  limit.perSecond = null;
  limit.toldAt = now;
  limit.toldTo = state.vmId;
  return isChange;
}

/** Counts a request or health check that is sent to an endpoint. */
export function recordLimitedSend(state: RequestLimitState, endpointId: string, now: number): void {
  const limit = state.limits.get(endpointId);
  if (limit !== undefined && limit.perSecond !== null) addToRate(limit.sends, 1, now);
}

/** Removes the limit of an endpoint that has restarted. */
export function resetRequestLimit(state: RequestLimitState, endpointId: string): void {
  state.limits.delete(endpointId);
}

/** Removes the limits of endpoints that are no longer known. */
export function removeRequestLimits(
  state: RequestLimitState,
  isKnown: (endpointId: string) => boolean,
): void {
  for (const endpointId of state.limits.keys()) {
    if (!isKnown(endpointId)) state.limits.delete(endpointId);
  }
}
