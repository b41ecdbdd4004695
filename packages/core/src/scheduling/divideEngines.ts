import type { RegisteredEndpoint } from '../directory/index.js';
import { orderEndpoints, totalDemand } from './queries.js';
import type { SchedulingState, WorkKind } from './state.js';

/** Demand below this counts as none, in engines: one request now and then needs no engine. */
const LEAST_DEMAND = 0.02;

/** The engines of a service for one kind of work, and those to fall back on. */
export interface EngineDivision<T> {
  /** The engines of this kind, the one at the border last. */
  readonly own: readonly T[];
  /** The others, the one at the border first. */
  readonly rest: readonly T[];
}

/**
 * Divides the engines of a service between work limited by prefill and by decode, by demand.
 * Long prefills stretch every pause of the streams beside them, so the two kinds are kept
 * apart: both fill one agreed order of engines, from its opposite ends.
 */
export function divideEngines<T extends RegisteredEndpoint>(
  state: SchedulingState,
  serviceId: string,
  endpoints: readonly T[],
  kind: WorkKind,
  now: number,
): EngineDivision<T> {
  const [prefill, decode] = totalDemand(state, serviceId, now);
  const isMixed = prefill > LEAST_DEMAND && decode > LEAST_DEMAND;
  const ordered = orderEndpoints(endpoints);
  if (!isMixed || endpoints.length < 2) return { own: ordered, rest: [] };
  const part = (endpoints.length * decode) / (prefill + decode);
  const border = Math.min(endpoints.length - 1, Math.max(1, Math.round(part)));
  const decodeEngines = ordered.slice(0, border);
  const prefillEngines = ordered.slice(border);
  return kind === 'decode'
    ? { own: decodeEngines, rest: prefillEngines }
    : { own: prefillEngines.reverse(), rest: decodeEngines.reverse() };
}
