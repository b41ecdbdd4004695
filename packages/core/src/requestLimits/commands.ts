import { addToRate, createDecayingRate, hashText } from '../shared/index.js';
import { createRequestLimit, type RequestLimit, type RequestLimitState } from './state.js';
import { updateCredits } from './updateCredits.js';

/** Number of values that `hashText` can return. */
const HASH_RANGE = 2 ** 32;

/** Time constant of the arrivals by which the VMs divide a limit. */
const ARRIVALS_TIME_CONSTANT_MS = 2000;

/** An answer of an endpoint, as far as limits are concerned. */
export interface AnsweredRequest {
  readonly endpointId: string;
  /** Time at which the request was sent; epoch milliseconds. */
  readonly sentAt: number;
}

/** What an endpoint said of its limit, and to which VM. */
export interface LimitStatement {
  readonly endpointId: string;
  /** Requests a second from all VMs together; null when it named none any more. */
  readonly perSecond: number | null;
  /** Epoch milliseconds. */
  readonly toldAt: number;
  /** VM id. */
  readonly toldTo: string;
}

/**
 * Returns the credit that a VM starts with, between 0 and 1: different on each VM, so that small
 * shares of one limit do not become due at the same time.
 */
function startingCredit({ vmId }: RequestLimitState, endpointId: string): number {
  return hashText(`${vmId}\n${endpointId}`) / HASH_RANGE;
}

function beginLimit(
  state: RequestLimitState,
  { endpointId, toldAt, toldTo }: LimitStatement,
  perSecond: number,
  now: number,
): void {
  const shareCredit = startingCredit(state, endpointId);
  const limit = createRequestLimit({ perSecond, toldAt, toldTo, shareCredit, now });
  state.limits.set(endpointId, limit);
}

function changeLimit(limit: RequestLimit, { perSecond }: LimitStatement, now: number): void {
  updateCredits(limit, now);
  limit.perSecond = perSecond;
  limit.changedAt = now;
}

/** Applies what an endpoint said last; returns whether that changes its limit. */
export function applyLimitStatement(
  state: RequestLimitState,
  statement: LimitStatement,
  now: number,
): boolean {
  const { endpointId, perSecond, toldAt, toldTo } = statement;
  const limit = state.limits.get(endpointId);
  const isChange = (limit?.perSecond ?? null) !== perSecond;
  const isUnlimited = limit === undefined || limit.perSecond === null;
  if (isUnlimited && perSecond !== null) {
    beginLimit(state, statement, perSecond, now);
    return true;
  }
  if (limit === undefined) return false;
  if (isChange) changeLimit(limit, statement, now);
  limit.toldAt = toldAt;
  limit.toldTo = toldTo;
  return isChange;
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
  const isHigher = perSecond > (limit?.perSecond ?? Number.POSITIVE_INFINITY);
  if (limit !== undefined && isHigher && sentAt < limit.changedAt) return false;
  const statement = { endpointId, perSecond, toldAt: now, toldTo: state.vmId };
  return applyLimitStatement(state, statement, now);
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
  const statement = { endpointId, perSecond: null, toldAt: now, toldTo: state.vmId };
  return applyLimitStatement(state, statement, now);
}

/** Takes the credit for a request or health check that is sent to an endpoint. */
export function recordLimitedSend(state: RequestLimitState, endpointId: string, now: number): void {
  const limit = state.limits.get(endpointId);
  if (limit === undefined || limit.perSecond === null) return;
  updateCredits(limit, now);
  limit.shareCredit -= 1;
  limit.fleetCredit -= 1;
  limit.unreportedSends += 1;
  addToRate(limit.sends, 1, now);
}

/** Counts a request to a service, by which the VMs divide the limits of its endpoints. */
export function recordServiceArrival(
  { arrivals }: RequestLimitState,
  serviceId: string,
  priority: number,
  now: number,
): void {
  const byPriority = arrivals.get(serviceId) ?? new Map();
  arrivals.set(serviceId, byPriority);
  const rate = byPriority.get(priority) ?? createDecayingRate(ARRIVALS_TIME_CONSTANT_MS);
  byPriority.set(priority, rate);
  addToRate(rate, 1, now);
}

/** Removes the limit of an endpoint that has restarted. */
export function resetRequestLimit(state: RequestLimitState, endpointId: string): void {
  state.limits.delete(endpointId);
}
