import { randomInteger, type Random } from '../shared/index.js';
import type { Endpoint, Request } from '../types/index.js';
import { cachedFraction } from './prefixCache.js';
import {
  countInFlight,
  estimateLoad,
  hasReportedFreeSlot,
  msPerToken,
  windowSize,
} from './queries.js';
import type { PlacementState } from './state.js';

/** Network latency added by an endpoint in another availability zone of the region. */
const OTHER_ZONE_LATENCY_MS = 2;

/** Network latency added by an endpoint in another region. */
const OTHER_REGION_LATENCY_MS = 60;

/** Cost of a prompt token relative to an output token: one step reads many prompt tokens. */
export const PROMPT_TOKEN_COST = 1 / 16;

/** Multiple of the pool's mean first-token time after which an attempt without one is overdue. */
const OVERDUE_FACTOR = 1.5;

/** Margin over the best estimate, fixed plus relative, within which endpoints count as equal. */
const TIE_MARGIN_MS = 10;
const TIE_MARGIN_FRACTION = 0.15;

/** A request to place, with its predicted cost, the location of this VM and the time. */
export interface EndpointQuery {
  readonly request: Request;
  /** Predicted cost of the request in tokens. */
  readonly cost: number;
  /** Availability zone of this VM. */
  readonly zone: string;
  /** Region of this VM. */
  readonly region: string;
  /** Current instant, in milliseconds. */
  readonly now: number;
}

function distanceMs(endpoint: Endpoint, { zone, region }: EndpointQuery): number {
  if (endpoint.region !== region) return OTHER_REGION_LATENCY_MS;
  return endpoint.zone === zone ? 0 : OTHER_ZONE_LATENCY_MS;
}

/** Estimates the time until an endpoint has answered a request completely, in milliseconds. */
export function estimateAnswerMs(
  state: PlacementState,
  endpoint: Endpoint,
  query: EndpointQuery,
): number {
  const { request, cost, now } = query;
  const load = state.loads.get(endpoint.id);
  const tokenMs = load?.pace.msPerToken ?? msPerToken(state, request.pool);
  const queued = estimateLoad(load, now) + 1 - endpoint.slots;
  // This VM's attempts without a token count as queued there, whatever the report says.
  const ahead = Math.max(0, queued, load?.awaitingFirstToken ?? 0);
  // One of the slots becomes free every attemptMs / slots on average.
  const attemptMs = state.pools.get(request.pool)?.attemptMs ?? cost * tokenMs;
  const queueMs = (ahead * attemptMs) / endpoint.slots;
  const cached = cachedFraction(state.prefixCaches, endpoint.id, request.prefixes);
  const savedMs = cached * request.promptTokens * PROMPT_TOKEN_COST * tokenMs;
  return queueMs + cost * tokenMs - savedMs + distanceMs(endpoint, query);
}

/** Returns the free part of this VM's window, minus its attempts without a token, in attempts. */
function countFreeWindow(state: PlacementState, endpoint: Endpoint): number {
  const awaitingCount = state.loads.get(endpoint.id)?.awaitingFirstToken ?? 0;
  return windowSize(state, endpoint) - countInFlight(state, endpoint.id) - awaitingCount;
}

/** Says whether this VM's window at an endpoint has room for one more attempt. */
export function hasWindowRoom(state: PlacementState, endpoint: Endpoint): boolean {
  return countInFlight(state, endpoint.id) < windowSize(state, endpoint);
}

/** Says whether this VM's oldest attempt without a token is overdue, so likely queued there. */
export function hasOverdueAttempt(
  state: PlacementState,
  endpoint: Endpoint,
  pool: string,
  now: number,
): boolean {
  const oldest = state.loads.get(endpoint.id)?.awaitingFirstTokenSince[0];
  const usualMs = state.pools.get(pool)?.firstTokenMs;
  if (oldest === undefined || usualMs === undefined || usualMs === null) return false;
  return now - oldest > usualMs * OVERDUE_FACTOR;
}

/**
 * Says whether an endpoint seems to have a free slot that other VMs leave unused: its report
 * shows one, and no attempt of this VM is without a token there.
 */
export function hasSpareSlot(state: PlacementState, endpoint: Endpoint, now: number): boolean {
  const awaitingCount = state.loads.get(endpoint.id)?.awaitingFirstToken ?? 0;
  return awaitingCount === 0 && hasReportedFreeSlot(state, endpoint, now);
}

/**
 * Chooses the endpoint for a request: the freer of two random ones among those about as good as
 * the best. Returns undefined when there is no candidate.
 */
export function chooseEndpoint(
  state: PlacementState,
  candidates: readonly Endpoint[],
  query: EndpointQuery,
  random: Random,
): Endpoint | undefined {
  if (candidates.length < 2) return candidates[0];
  const estimates = candidates.map((c) => estimateAnswerMs(state, c, query));
  const best = Math.min(...estimates);
  const near = candidates.filter(
    (_, index) => estimates[index]! <= best + TIE_MARGIN_MS + Math.abs(best) * TIE_MARGIN_FRACTION,
  );
  const first = near[randomInteger(random, near.length)]!;
  const second = near[randomInteger(random, near.length)]!;
  return countFreeWindow(state, first) >= countFreeWindow(state, second) ? first : second;
}
