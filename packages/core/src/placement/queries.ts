import type { Endpoint } from '../types/index.js';
import type { EndpointLoad, PlacementState } from './state.js';

/** Age above which a load report is ignored. */
const MAX_REPORT_AGE_MS = 6000;

/** Largest window as a multiple of an endpoint's slots; above 1 to cover the round trip. */
const MAX_WINDOW_PER_SLOT = 1.25;

/** Age up to which a report is evidence that an endpoint is full. */
const MAX_FRESH_REPORT_AGE_MS = 800;

/** Time after the last send to it for which an endpoint counts as active. */
const ACTIVE_ENDPOINT_MS = 5000;

/** Slot time of one token, assumed before any attempt has ended. */
const DEFAULT_MS_PER_TOKEN = 20;

/** Returns how many attempts of this VM are in flight at an endpoint. */
export function countInFlight(state: PlacementState, endpointId: string): number {
  return state.loads.get(endpointId)?.inFlight ?? 0;
}

/** Returns how many critical attempts of this VM are in flight in a pool. */
export function countCritical(state: PlacementState, pool: string): number {
  return state.critical.get(pool)?.size ?? 0;
}

/** Returns this VM's window: how many attempts it may have in flight at an endpoint. */
export function windowSize(state: PlacementState, endpoint: Endpoint): number {
  const load = state.loads.get(endpoint.id);
  if (load === undefined || load.part === null) return endpoint.slots;
  return Math.min(endpoint.slots * MAX_WINDOW_PER_SLOT, Math.round(load.part * load.factor));
}

/** Returns the slot time of one token of cost in a pool, in milliseconds. */
export function msPerToken(state: PlacementState, pool: string): number {
  return state.pools.get(pool)?.msPerToken ?? DEFAULT_MS_PER_TOKEN;
}

/** Returns the mean time from dispatch to first token in a pool, in milliseconds; 0 if unknown. */
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
 * Estimates how many requests of all VMs an endpoint has now: those in its report, corrected by
 * this VM's sends and ends since; at least this VM's own in flight.
 */
export function estimateLoad(load: EndpointLoad | undefined, now: number): number {
  if (load === undefined) return 0;
  const { report } = load;
  if (report === null || now - report.measuredAt > MAX_REPORT_AGE_MS) return load.inFlight;
  const sent = countAfter(load.sentAt, report.measuredAt);
  const ended = countAfter(load.endedAt, report.measuredAt);
  return Math.max(load.inFlight, report.running + report.waiting + sent - ended);
}

/** Says whether an endpoint's last report, corrected by this VM's changes, shows a free slot. */
export function hasReportedFreeSlot(
  state: PlacementState,
  endpoint: Endpoint,
  now: number,
): boolean {
  const load = state.loads.get(endpoint.id);
  if (load?.report == null || now - load.report.measuredAt > MAX_REPORT_AGE_MS) return false;
  return estimateLoad(load, now) < endpoint.slots;
}

/** Says whether a fresh report shows no free slot; an older one is no evidence of that. */
export function isReportedFull(state: PlacementState, endpoint: Endpoint, now: number): boolean {
  const load = state.loads.get(endpoint.id);
  if (load?.report == null || now - load.report.measuredAt > MAX_FRESH_REPORT_AGE_MS) return false;
  return estimateLoad(load, now) >= endpoint.slots;
}

/** Lists the ids of endpoints with attempts of this VM in flight or sent recently. */
export function listActiveEndpoints(state: PlacementState, now: number): string[] {
  return [...state.loads]
    .filter(
      ([, { inFlight, sentAt }]) => inFlight > 0 || (sentAt.at(-1) ?? 0) > now - ACTIVE_ENDPOINT_MS,
    )
    .map(([id]) => id);
}
