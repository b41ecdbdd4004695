import { hashText } from '../shared/index.js';
import type { Endpoint, LoadReport } from '../types/index.js';
import {
  createSpeedEstimate,
  recordDuration,
  recordFirstToken,
  type SpeedEstimate,
} from './speedEstimate.js';
import { createEndpointLoad, type EndpointLoad, type PlacementState } from './state.js';

/** Sends and ends older than this are dropped: a report as late as that is out of date. */
const MAX_REPORT_LAG_MS = 5000;

/** Smallest window factor: the window as a multiple of this VM's share. */
const MIN_WINDOW_FACTOR = 0.3;

/** Factor by which a decrease multiplies the window factor. */
const WINDOW_DECREASE_FACTOR = 0.9;

/** Amount that an increase adds to the window factor when the report shows no free slot. */
const SLOW_WINDOW_INCREASE = 0.01;

/** Amount that an increase adds to the window factor when the report shows a free slot. */
const FAST_WINDOW_INCREASE = 0.05;

/** Largest window factor when the shares follow the VMs' demand. */
const MAX_DEMAND_SHARE_FACTOR = 1;

/** Largest window factor when the VMs' demand is not known, so that all shares are equal. */
const MAX_EQUAL_SHARE_FACTOR = 8;

/** Shortest time between two decreases of a window: the streams in flight need time to end. */
const MIN_DECREASE_INTERVAL_MS = 300;

/** Number of values of `hashText`. */
const HASH_RANGE = 2 ** 32;

/** Multiple of the idle first-token time; the time beyond counts as queued at the endpoint. */
const IDLE_FIRST_TOKEN_FACTOR = 2;

function getOrCreateLoad(state: PlacementState, endpointId: string): EndpointLoad {
  let load = state.loads.get(endpointId);
  if (load === undefined) {
    load = createEndpointLoad();
    state.loads.set(endpointId, load);
  }
  return load;
}

function getOrCreatePoolSpeed(state: PlacementState, pool: string): SpeedEstimate {
  let speed = state.pools.get(pool);
  if (speed === undefined) {
    speed = createSpeedEstimate();
    state.pools.set(pool, speed);
  }
  return speed;
}

function dropUntil(instants: number[], instant: number): void {
  const kept = instants.findIndex((at) => at > instant);
  instants.splice(0, kept < 0 ? instants.length : kept);
}

/**
 * Sets this VM's share of an endpoint's slots to the range `from` to `to`, each 0 to 1. The shares
 * of all VMs meet without gap or overlap, and each endpoint rounds at a different offset.
 */
export function setShare(
  state: PlacementState,
  endpoint: Endpoint,
  from: number,
  to: number,
): void {
  const offset = hashText(endpoint.id) / HASH_RANGE;
  const begin = Math.round(endpoint.slots * from + offset);
  const end = Math.round(endpoint.slots * to + offset);
  getOrCreateLoad(state, endpoint.id).part = end - begin;
}

/** Reserves a slot at an endpoint for an attempt with an expected cost in tokens. */
export function reserveSlot(state: PlacementState, endpointId: string, tokens: number): void {
  const load = getOrCreateLoad(state, endpointId);
  load.inFlight += 1;
  load.awaitingFirstToken += 1;
  load.expectedTokens += tokens;
}

/** Records that an attempt is sent now; reports measured earlier do not include it. */
export function recordAttemptSent(state: PlacementState, endpointId: string, now: number): void {
  const load = getOrCreateLoad(state, endpointId);
  dropUntil(load.sentAt, now - MAX_REPORT_LAG_MS);
  load.sentAt.push(now);
  load.awaitingFirstTokenSince.push(now);
}

/** Records that the attempt sent at `startedAt` has had its first token, or ended without one. */
export function endFirstTokenWait(
  state: PlacementState,
  endpointId: string,
  startedAt: number,
): void {
  const load = getOrCreateLoad(state, endpointId);
  load.awaitingFirstToken = Math.max(0, load.awaitingFirstToken - 1);
  const index = load.awaitingFirstTokenSince.indexOf(startedAt);
  // An attempt that waited for a claim started later than recorded; the oldest is removed instead.
  load.awaitingFirstTokenSince.splice(Math.max(0, index), 1);
  if (load.awaitingFirstToken === 0) load.awaitingFirstTokenSince.length = 0;
}

/** Releases the slot of an attempt that ended, with its expected tokens. */
export function releaseSlot(
  state: PlacementState,
  endpointId: string,
  tokens: number,
  now: number,
): void {
  const load = getOrCreateLoad(state, endpointId);
  load.inFlight = Math.max(0, load.inFlight - 1);
  load.expectedTokens = Math.max(0, load.expectedTokens - tokens);
  dropUntil(load.endedAt, now - MAX_REPORT_LAG_MS);
  load.endedAt.push(now);
}

/** Records an engine's load report unless it is not newer; a future instant counts as now. */
export function recordLoadReport(state: PlacementState, report: LoadReport, now: number): void {
  const load = getOrCreateLoad(state, report.endpointId);
  if (load.report !== null && load.report.measuredAt >= report.measuredAt) return;
  load.report = { ...report, measuredAt: Math.min(report.measuredAt, now) };
  dropUntil(load.sentAt, report.measuredAt);
  dropUntil(load.endedAt, report.measuredAt);
}

/** The first token of an attempt, and the state of its endpoint at that time. */
export interface FirstTokenObservation {
  readonly endpoint: Endpoint;
  readonly pool: string;
  /** Time from dispatch to the first token, in milliseconds. */
  readonly elapsedMs: number;
  /** Longest queueing at the endpoint that the pool's latency targets allow, in milliseconds. */
  readonly mostWaitMs: number;
  /** Whether requests waited at this VM because its windows were full. */
  readonly isLimited: boolean;
  /** Whether the endpoint's report shows a free slot. */
  readonly hasRoom: boolean;
  /** Whether the VMs' shares follow their demand. */
  readonly followsDemand: boolean;
}

/**
 * Records a first token and adapts the window factor: down when the attempt was queued too long at
 * the endpoint, up when requests waited at this VM for a window.
 */
export function adaptWindow(
  state: PlacementState,
  observation: FirstTokenObservation,
  now: number,
): void {
  const load = getOrCreateLoad(state, observation.endpoint.id);
  recordFirstToken(load.pace, observation.elapsedMs);
  recordFirstToken(getOrCreatePoolSpeed(state, observation.pool), observation.elapsedMs);
  const idleMs =
    getOrCreatePoolSpeed(state, observation.pool).idleFirstTokenMs ?? observation.elapsedMs;
  const waitedMs = observation.elapsedMs - IDLE_FIRST_TOKEN_FACTOR * idleMs;
  if (waitedMs > observation.mostWaitMs) {
    if (now - load.decreasedAt < MIN_DECREASE_INTERVAL_MS) return;
    load.factor = Math.max(MIN_WINDOW_FACTOR, load.factor * WINDOW_DECREASE_FACTOR);
    load.decreasedAt = now;
    return;
  }
  if (!observation.isLimited) return;
  const maxFactor = observation.followsDemand ? MAX_DEMAND_SHARE_FACTOR : MAX_EQUAL_SHARE_FACTOR;
  const step = observation.hasRoom ? FAST_WINDOW_INCREASE : SLOW_WINDOW_INCREASE;
  load.factor = Math.min(Math.max(maxFactor, load.factor), load.factor + step);
}

/** Records the duration of an attempt, and its cost in tokens, for its endpoint and pool. */
export function recordAttemptDuration(
  state: PlacementState,
  endpointId: string,
  pool: string,
  durationMs: number,
  cost: number,
): void {
  recordDuration(getOrCreateLoad(state, endpointId).pace, durationMs, cost);
  recordDuration(getOrCreatePoolSpeed(state, pool), durationMs, cost);
}

/** Adds an attempt to the critical ones in flight in a pool. */
export function addCriticalAttempt(state: PlacementState, pool: string, attemptId: string): void {
  const attempts = state.critical.get(pool) ?? new Set();
  attempts.add(attemptId);
  state.critical.set(pool, attempts);
}

/** Removes an attempt from the critical ones in flight; no effect when it is not among them. */
export function removeCriticalAttempt(state: PlacementState, attemptId: string): void {
  state.critical.forEach((attempts) => attempts.delete(attemptId));
}
