import type { Endpoint } from '../types/index.js';
import type { EndpointLoad, PlacementState } from './state.js';

/** A report older than this says nothing any more. */
const OLDEST_REPORT_MS = 6000;

/** A window may exceed the endpoint's slots by this part, to cover the way there and back. */
const LARGEST_WINDOW_PART = 1.25;

/** A report no older than this is taken to describe the present. */
const FRESH_REPORT_MS = 800;

/** An endpoint that got nothing for so long is no longer in use. */
const RECENT_MS = 5000;

/** Slot time of one token before any attempt has ended, in milliseconds. */
const UNKNOWN_MS_PER_TOKEN = 20;

/** Returns how many attempts of this VM are in flight at an endpoint. */
export function countInFlight(state: PlacementState, endpointId: string): number {
  return state.loads.get(endpointId)?.inFlight ?? 0;
}

/** Returns how many critical attempts of this VM are in flight in a pool. */
export function countCritical(state: PlacementState, pool: string): number {
  return state.critical.get(pool)?.size ?? 0;
}

/** Returns how many attempts this VM may have in flight at an endpoint. */
export function windowOf(state: PlacementState, endpoint: Endpoint): number {
  const load = state.loads.get(endpoint.id);
  if (load === undefined || load.part === null) return endpoint.slots;
  return Math.min(endpoint.slots * LARGEST_WINDOW_PART, Math.round(load.part * load.factor));
}

/** Returns the slot time of one token of cost in a pool, in milliseconds. */
export function msPerToken(state: PlacementState, pool: string): number {
  return state.pools.get(pool)?.msPerToken ?? UNKNOWN_MS_PER_TOKEN;
}

/** Returns the usual time from dispatch to the first token in a pool, in milliseconds. */
export function firstTokenMs(state: PlacementState, pool: string): number {
  return state.pools.get(pool)?.firstTokenMs ?? 0;
}

function countAfter(instants: readonly number[], instant: number): number {
  let count = 0;
  for (let index = instants.length - 1; index >= 0; index -= 1) {
    if (instants[index]! <= instant) break;
    count += 1;
  }
  return count;
}

/**
 * Estimates how many requests of all VMs an endpoint has now: its report, corrected by what
 * this VM sent and saw ending since; never fewer than this VM's own.
 */
export function estimateLoad(load: EndpointLoad | undefined, now: number): number {
  if (load === undefined) return 0;
  const { report } = load;
  if (report === null || now - report.measuredAt > OLDEST_REPORT_MS) return load.inFlight;
  const sent = countAfter(load.sentAt, report.measuredAt);
  const ended = countAfter(load.endedAt, report.measuredAt);
  return Math.max(load.inFlight, report.running + report.waiting + sent - ended);
}

/** Says whether an endpoint's own report shows a free slot now. */
export function hasReportedRoom(state: PlacementState, endpoint: Endpoint, now: number): boolean {
  const load = state.loads.get(endpoint.id);
  if (load?.report == null || now - load.report.measuredAt > OLDEST_REPORT_MS) return false;
  return estimateLoad(load, now) < endpoint.slots;
}

/** Says whether a fresh report shows no free slot; one that is late proves nothing. */
export function isReportedFull(state: PlacementState, endpoint: Endpoint, now: number): boolean {
  const load = state.loads.get(endpoint.id);
  if (load?.report == null || now - load.report.measuredAt > FRESH_REPORT_MS) return false;
  return estimateLoad(load, now) >= endpoint.slots;
}

/** Lists the endpoints that this VM uses now or used lately. */
export function listActiveEndpoints(state: PlacementState, now: number): string[] {
  return [...state.loads]
    .filter(([, { inFlight, sentAt }]) => inFlight > 0 || (sentAt.at(-1) ?? 0) > now - RECENT_MS)
    .map(([id]) => id);
}
