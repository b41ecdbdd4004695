import type { RegisteredEndpoint } from '../directory/index.js';
import { moreUrgentKind, orderEndpoints, totalDemand } from './queries.js';
import { isFresh, type SchedulingState, type WorkKind } from './state.js';

/** Demand below this counts as none, in engines: one request now and then needs no engine. */
const LEAST_DEMAND = 0.02;

/** The border moves when demand is this much beyond it, in engines: each move empties caches. */
const BORDER_MARGIN = 0.75;

/** The engines of a service for one kind of work, and those to fall back on. */
export interface EngineDivision<T> {
  /** The engines of this kind, the one at the border last. */
  readonly own: readonly T[];
  /** The others, the one at the border first. */
  readonly rest: readonly T[];
}

/** The more urgent kind of work gets so much more than its demand, where there is not enough. */
const URGENT_HEADROOM = 1.15;

/** Returns how many engines decode should have: its part of the demand, the urgent kind first. */
function wantedDecodeEngines(
  state: SchedulingState,
  serviceId: string,
  engines: number,
  prefill: number,
  decode: number,
): number {
  const part = (engines * decode) / (prefill + decode);
  const urgent = moreUrgentKind(state, serviceId);
  if (urgent === 'decode') return Math.max(part, decode * URGENT_HEADROOM);
  if (urgent === 'prefill') return Math.min(part, engines - prefill * URGENT_HEADROOM);
  return part;
}

/**
 * Returns the border of the VM with the lowest id that told one lately; undefined when that is
 * this one. Two VMs with different borders would put both kinds of work on the engine between.
 */
function followedBorder(
  { vmId, peers }: SchedulingState,
  serviceId: string,
  now: number,
): number | undefined {
  let lowest = vmId;
  let border: number | undefined;
  for (const [peerId, peer] of peers) {
    const told = isFresh(peer, now) ? peer.borders.get(serviceId) : undefined;
    if (told !== undefined && peerId < lowest) {
      lowest = peerId;
      border = told;
    }
  }
  return border;
}

/** Returns the number of engines for decode; remembers it, so that it moves with reason only. */
function moveBorder(
  state: SchedulingState,
  serviceId: string,
  engines: number,
  wanted: number,
  now: number,
): number {
  const { borders } = state;
  const before = borders.get(serviceId) ?? Math.round(wanted);
  const ownMove = Math.abs(wanted - before) > BORDER_MARGIN ? Math.round(wanted) : before;
  const moved = followedBorder(state, serviceId, now) ?? ownMove;
  const border = Math.min(engines - 1, Math.max(1, moved));
  borders.set(serviceId, border);
  return border;
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
  const wanted = wantedDecodeEngines(state, serviceId, endpoints.length, prefill, decode);
  const border = moveBorder(state, serviceId, endpoints.length, wanted, now);
  const decodeEngines = ordered.slice(0, border);
  const prefillEngines = ordered.slice(border);
  return kind === 'decode'
    ? { own: decodeEngines, rest: prefillEngines }
    : { own: prefillEngines.reverse(), rest: decodeEngines.reverse() };
}
