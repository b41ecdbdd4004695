import type { LoadReport } from '../types/index.js';
import type { EndpointLoad, PlacementState } from './state.js';

function loadOf(state: PlacementState, endpointId: string): EndpointLoad {
  let load = state.loads.get(endpointId);
  if (load === undefined) {
    load = { inFlight: 0, expectedTokens: 0, report: null };
    state.loads.set(endpointId, load);
  }
  return load;
}

/** Takes a slot at an endpoint for an attempt of so many expected tokens. */
export function reserveSlot(state: PlacementState, endpointId: string, tokens: number): void {
  const load = loadOf(state, endpointId);
  load.inFlight += 1;
  load.expectedTokens += tokens;
}

/** Gives a slot back. */
export function releaseSlot(state: PlacementState, endpointId: string, tokens: number): void {
  const load = loadOf(state, endpointId);
  load.inFlight -= 1;
  load.expectedTokens -= tokens;
}

/** Takes in an engine's own report, unless a newer one is known. */
export function recordReport(state: PlacementState, report: LoadReport): void {
  const load = loadOf(state, report.endpointId);
  if (load.report !== null && load.report.measuredAt >= report.measuredAt) return;
  load.report = report;
}
