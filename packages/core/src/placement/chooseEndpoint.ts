import { nextInteger, type Random } from '../shared/index.js';
import type { Endpoint, Request } from '../types/index.js';
import { countCached } from './prefixCache.js';
import { countInFlight, estimateLoad, msPerToken, windowOf } from './queries.js';
import type { PlacementState } from './state.js';

const OTHER_ZONE_MS = 2;
const OTHER_REGION_MS = 60;

/** Cost of a prompt token in output tokens: prompts are read many tokens a step. */
export const PROMPT_TOKEN_COST = 1 / 16;

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
  /** Attempts beyond its window that this request may use at one endpoint. */
  readonly overcommit: number;
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
  const ahead = Math.max(0, estimateLoad(load, now) + 1 - endpoint.slots);
  const queueMs = (ahead * cost * pace) / endpoint.slots;
  const cachedPart = countCached(state.caches, endpoint.id, request.prefixes);
  const savedMs = cachedPart * request.promptTokens * PROMPT_TOKEN_COST * pace;
  return queueMs + cost * pace - savedMs + distanceMs(endpoint, placing);
}

function fill(state: PlacementState, endpoint: Endpoint, now: number): number {
  return estimateLoad(state.loads.get(endpoint.id), now) / endpoint.slots;
}

/** Says whether an endpoint has room for one more attempt of this VM. */
export function hasWindow(state: PlacementState, endpoint: Endpoint, overcommit: number): boolean {
  return countInFlight(state, endpoint.id) < Math.ceil(windowOf(state, endpoint)) + overcommit;
}

/** Chooses the endpoint for a request: of two near-equals at random, the emptier. */
export function chooseEndpoint(
  state: PlacementState,
  candidates: readonly Endpoint[],
  placing: Placing,
  random: Random,
): Endpoint | undefined {
  const free = candidates.filter((c) => hasWindow(state, c, placing.overcommit));
  if (free.length < 2) return free[0];
  const scores = free.map((c) => scoreEndpoint(state, c, placing));
  const best = Math.min(...scores);
  const near = free.filter((_, at) => scores[at]! <= best + NEAR_MS + Math.abs(best) * NEAR_PART);
  const first = near[nextInteger(random, near.length)]!;
  const second = near[nextInteger(random, near.length)]!;
  return fill(state, first, placing.now) <= fill(state, second, placing.now) ? first : second;
}
