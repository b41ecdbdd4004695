import type { Endpoint, LoadReport } from '../types/index.js';
import { createPace, observeDuration, observeFirst, type Pace } from './pace.js';
import { createEndpointLoad, type EndpointLoad, type PlacementState } from './state.js';

/** Reports later than this describe another time; what was sent then no longer matters. */
const LONGEST_REPORT_LAG_MS = 5000;

const LEAST_WINDOW = 0.5;
const DECREASE = 0.85;
const SLOW_INCREASE = 0.15;
const FAST_INCREASE = 0.6;

/** A window shrinks at most once in so long: the streams in flight need time to end. */
const DECREASE_INTERVAL_MS = 300;

/** A window may exceed the endpoint's slots by this part, to cover the way there and back. */
const LARGEST_WINDOW_PART = 1.25;

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

/** Opens the window of an endpoint that is used for the first time. */
export function openWindow(state: PlacementState, endpoint: Endpoint, vms: number): void {
  const load = loadOf(state, endpoint.id);
  load.window ??= Math.max(LEAST_WINDOW, endpoint.slots / vms);
}

/** Takes a slot at an endpoint for an attempt of so many expected tokens. */
export function reserveSlot(state: PlacementState, endpointId: string, tokens: number): void {
  const load = loadOf(state, endpointId);
  load.inFlight += 1;
  load.expectedTokens += tokens;
}

/** Notes that an attempt goes to an endpoint now: reports of before do not count it. */
export function noteSent(state: PlacementState, endpointId: string, now: number): void {
  const load = loadOf(state, endpointId);
  dropBefore(load.sentAt, now - LONGEST_REPORT_LAG_MS);
  load.sentAt.push(now);
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
}

/** Adapts the window: smaller when requests waited at the endpoint, larger when it is idle. */
export function observeFirstTokenAt(state: PlacementState, seen: FirstToken, now: number): void {
  const load = loadOf(state, seen.endpoint.id);
  const { window } = load;
  observeFirst(load.pace, seen.elapsedMs);
  observeFirst(paceOf(state, seen.pool), seen.elapsedMs);
  if (window === null) return;
  const idleMs = paceOf(state, seen.pool).idleFirstTokenMs ?? seen.elapsedMs;
  const waitedMs = seen.elapsedMs - IDLE_FACTOR * idleMs;
  if (waitedMs > seen.mostWaitMs) {
    if (now - load.decreasedAt < DECREASE_INTERVAL_MS) return;
    load.window = Math.max(LEAST_WINDOW, window * DECREASE);
    load.decreasedAt = now;
    return;
  }
  if (!seen.isLimited) return;
  const step = seen.hasRoom ? FAST_INCREASE : SLOW_INCREASE;
  load.window = Math.min(
    seen.endpoint.slots * LARGEST_WINDOW_PART,
    window + step / Math.max(1, window),
  );
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
