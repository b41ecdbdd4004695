import type { LoadReport } from '../types/index.js';

/** What this VM has at one endpoint. */
export interface EndpointLoad {
  inFlight: number;
  /** Tokens expected of the attempts in flight. */
  expectedTokens: number;
  report: LoadReport | null;
}

/** Loads of the endpoints, by id. */
export interface PlacementState {
  readonly loads: Map<string, EndpointLoad>;
}

/** Creates the state in which nothing is in flight. */
export function createPlacementState(): PlacementState {
  return { loads: new Map() };
}
