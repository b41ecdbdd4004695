import { nextInteger, type Random } from '../shared/index.js';
import type { Endpoint, Request } from '../types/index.js';
import { countCached } from './prefixCache.js';
import { countInFlight, estimateLoad, hasReportedRoom, msPerToken, windowOf } from './queries.js';
import type { PlacementState } from './state.js';

const OTHER_ZONE_MS = 2;
const OTHER_REGION_MS = 60;

/** Cost of a prompt token in output tokens: prompts are read many tokens a step. */
export const PROMPT_TOKEN_COST = 1 / 16;

/** An attempt without a token for so many times the usual time waits at the endpoint. */
const BACKED_UP_FACTOR = 1.5;

/** Endpoints within so much of the best are near-equals. */
const NEAR_MS = 10;
const NEAR_PART = 0.15;

/** Where the request would go and what is known. */
export interface Placing {
  readonly request: Request;
  /** Predicted cost of the request in tokens. */
  readonly cost: number;
  readonly zone: string;
  readonly region: string;
  readonly now: number;
}

function distanceMs(endpoint: Endpoint, { zone, region }: Placing): number {
  if (endpoint.region !== region) return OTHER_REGION_MS;
  return endpoint.zone === zone ? 0 : OTHER_ZONE_MS;
}

/** Estimates the time until an endpoint would have answered a request, in milliseconds. */
export function scoreEndpoint(state: PlacementState, endpoint: Endpoint, placing: Placing): number {
  const { request, cost, now } = placing;
  const load = state.loads.get(endpoint.id);
  const pace = load?.pace.msPerToken ?? msPerToken(state, request.pool);
  const reported = estimateLoad(load, now) + 1 - endpoint.slots;
  // An attempt without a token waits there whatever the report says.
  const ahead = Math.max(0, reported, load?.unanswered ?? 0);
  // A slot comes free each time one of the attempts in the batch ends.
  const attemptMs = state.pools.get(request.pool)?.attemptMs ?? cost * pace;
  const queueMs = (ahead * attemptMs) / endpoint.slots;
  const cachedPart = countCached(state.caches, endpoint.id, request.prefixes);
  const savedMs = cachedPart * request.promptTokens * PROMPT_TOKEN_COST * pace;
  return queueMs + cost * pace - savedMs + distanceMs(endpoint, placing);
}

/** Returns the slots of this VM's window that are free, less what waits there unanswered. */
function countFree(state: PlacementState, endpoint: Endpoint): number {
  const unanswered = state.loads.get(endpoint.id)?.unanswered ?? 0;
  return windowOf(state, endpoint) - countInFlight(state, endpoint.id) - unanswered;
}

/** Says whether an endpoint has room for one more attempt within this VM's window. */
export function hasWindow(state: PlacementState, endpoint: Endpoint): boolean {
  return countInFlight(state, endpoint.id) < windowOf(state, endpoint);
}

/** Says whether attempts of this VM seem to wait at an endpoint: one has long had no token. */
export function isBackedUp(
  state: PlacementState,
  endpoint: Endpoint,
  pool: string,
  now: number,
): boolean {
  const oldest = state.loads.get(endpoint.id)?.unansweredSince[0];
  const usualMs = state.pools.get(pool)?.firstTokenMs;
  if (oldest === undefined || usualMs === undefined || usualMs === null) return false;
  return now - oldest > usualMs * BACKED_UP_FACTOR;
}

/**
 * Says whether an endpoint seems to have a slot free that other VMs leave unused: its report
 * shows one, and nothing of this VM waits there.
 */
export function hasSpareSlot(state: PlacementState, endpoint: Endpoint, now: number): boolean {
  const unanswered = state.loads.get(endpoint.id)?.unanswered ?? 0;
  return unanswered === 0 && hasReportedRoom(state, endpoint, now);
}

/** Chooses the endpoint for a request: of two near-equals at random, the emptier. */
export function chooseEndpoint(
  state: PlacementState,
  candidates: readonly Endpoint[],
  placing: Placing,
  random: Random,
): Endpoint | undefined {
  if (candidates.length < 2) return candidates[0];
  const scores = candidates.map((c) => scoreEndpoint(state, c, placing));
  const best = Math.min(...scores);
  const near = candidates.filter(
    (_, at) => scores[at]! <= best + NEAR_MS + Math.abs(best) * NEAR_PART,
  );
  const first = near[nextInteger(random, near.length)]!;
  const second = near[nextInteger(random, near.length)]!;
  return countFree(state, first) >= countFree(state, second) ? first : second;
}
