import { hashText } from '../shared/index.js';
import type { Endpoint, LoadReport } from '../types/index.js';
import { createPace, observeDuration, observeFirst, type Pace } from './pace.js';
import { createEndpointLoad, type EndpointLoad, type PlacementState } from './state.js';

/** Reports later than this describe another time; what was sent then no longer matters. */
const LONGEST_REPORT_LAG_MS = 5000;

const LEAST_FACTOR = 0.3;
const DECREASE = 0.9;
const SLOW_INCREASE = 0.01;
const FAST_INCREASE = 0.05;

/** A part that follows the VMs' demand is exceeded by at most this factor. */
const LARGEST_KNOWN_FACTOR = 1;

/** An equal part, where the VMs' demand is not known, is exceeded by at most this factor. */
const LARGEST_BLIND_FACTOR = 8;

/** A window shrinks at most once in so long: the streams in flight need time to end. */
const DECREASE_INTERVAL_MS = 300;

const HASH_RANGE = 2 ** 32;

/** A first token this much later than at an idle endpoint tells that it waited there. */
const IDLE_FACTOR = 2;

function loadOf(state: PlacementState, endpointId: string): EndpointLoad {
  let load = state.loads.get(endpointId);
  if (load === undefined) {
    load = createEndpointLoad();
    state.loads.set(endpointId, load);
  }
  return load;
}

function paceOf(state: PlacementState, pool: string): Pace {
  let pace = state.pools.get(pool);
  if (pace === undefined) {
    pace = createPace();
    state.pools.set(pool, pace);
  }
  return pace;
}

function dropBefore(instants: number[], instant: number): void {
  const kept = instants.findIndex((at) => at > instant);
  instants.splice(0, kept < 0 ? instants.length : kept);
}

/**
 * Sets this VM's part of an endpoint's slots, `from` and `to` being 0 to 1: the parts of all
 * VMs meet without gap or overlap, and each endpoint rounds elsewhere.
 */
export function setPart(state: PlacementState, endpoint: Endpoint, from: number, to: number): void {
  const offset = hashText(endpoint.id) / HASH_RANGE;
  const begin = Math.round(endpoint.slots * from + offset);
  const end = Math.round(endpoint.slots * to + offset);
  loadOf(state, endpoint.id).part = end - begin;
}

/** Takes a slot at an endpoint for an attempt of so many expected tokens. */
export function reserveSlot(state: PlacementState, endpointId: string, tokens: number): void {
  const load = loadOf(state, endpointId);
  load.inFlight += 1;
  load.unanswered += 1;
  load.expectedTokens += tokens;
}

/** Notes that an attempt goes to an endpoint now: reports of before do not count it. */
export function noteSent(state: PlacementState, endpointId: string, now: number): void {
  const load = loadOf(state, endpointId);
  dropBefore(load.sentAt, now - LONGEST_REPORT_LAG_MS);
  load.sentAt.push(now);
  load.unansweredSince.push(now);
}

/** Notes that an attempt has had its first token, or has ended without one. */
export function noteAnswered(state: PlacementState, endpointId: string, startedAt: number): void {
  const load = loadOf(state, endpointId);
  load.unanswered = Math.max(0, load.unanswered - 1);
  const index = load.unansweredSince.indexOf(startedAt);
  // An attempt that waited for a claim started later than it was noted: the oldest stands for it.
  load.unansweredSince.splice(Math.max(0, index), 1);
  if (load.unanswered === 0) load.unansweredSince.length = 0;
}

/** Gives a slot back. */
export function releaseSlot(
  state: PlacementState,
  endpointId: string,
  tokens: number,
  now: number,
): void {
  const load = loadOf(state, endpointId);
  load.inFlight = Math.max(0, load.inFlight - 1);
  load.expectedTokens = Math.max(0, load.expectedTokens - tokens);
  dropBefore(load.endedAt, now - LONGEST_REPORT_LAG_MS);
  load.endedAt.push(now);
}

/** Takes in an engine's own report, unless a newer one is known or it claims to be of later. */
export function recordReport(state: PlacementState, report: LoadReport, now: number): void {
  const load = loadOf(state, report.endpointId);
  if (load.report !== null && load.report.measuredAt >= report.measuredAt) return;
  load.report = { ...report, measuredAt: Math.min(report.measuredAt, now) };
  dropBefore(load.sentAt, report.measuredAt);
  dropBefore(load.endedAt, report.measuredAt);
}

/** What the first token of an attempt tells about the endpoint. */
export interface FirstToken {
  readonly endpoint: Endpoint;
  readonly pool: string;
  readonly elapsedMs: number;
  /** Longest wait at the endpoint that the pool's latency targets allow, in milliseconds. */
  readonly mostWaitMs: number;
  /** Says whether requests waited here for want of windows. */
  readonly isLimited: boolean;
  /** Says whether the endpoint's report shows free slots. */
  readonly hasRoom: boolean;
  /** Says whether the part follows the VMs' demand. */
  readonly followsDemand: boolean;
}

/** Adapts the window: smaller when requests waited at the endpoint, larger when it is idle. */
export function observeFirstTokenAt(state: PlacementState, seen: FirstToken, now: number): void {
  const load = loadOf(state, seen.endpoint.id);
  observeFirst(load.pace, seen.elapsedMs);
  observeFirst(paceOf(state, seen.pool), seen.elapsedMs);
  const idleMs = paceOf(state, seen.pool).idleFirstTokenMs ?? seen.elapsedMs;
  const waitedMs = seen.elapsedMs - IDLE_FACTOR * idleMs;
  if (waitedMs > seen.mostWaitMs) {
    if (now - load.decreasedAt < DECREASE_INTERVAL_MS) return;
    load.factor = Math.max(LEAST_FACTOR, load.factor * DECREASE);
    load.decreasedAt = now;
    return;
  }
  if (!seen.isLimited) return;
  const most = seen.followsDemand ? LARGEST_KNOWN_FACTOR : LARGEST_BLIND_FACTOR;
  const step = seen.hasRoom ? FAST_INCREASE : SLOW_INCREASE;
  load.factor = Math.min(Math.max(most, load.factor), load.factor + step);
}

/** Learns how long an attempt took for its tokens of cost. */
export function observePace(
  state: PlacementState,
  endpointId: string,
  pool: string,
  durationMs: number,
  cost: number,
): void {
  observeDuration(loadOf(state, endpointId).pace, durationMs, cost);
  observeDuration(paceOf(state, pool), durationMs, cost);
}

/** Notes a critical attempt of a pool as in flight. */
export function addCritical(state: PlacementState, pool: string, attemptId: string): void {
  const attempts = state.critical.get(pool) ?? new Set();
  attempts.add(attemptId);
  state.critical.set(pool, attempts);
}

/** Notes that an attempt is no longer in flight, critical or not. */
export function removeCritical(state: PlacementState, attemptId: string): void {
  state.critical.forEach((attempts) => attempts.delete(attemptId));
}
