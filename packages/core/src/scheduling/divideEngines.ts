import type { RegisteredEndpoint } from '../directory/index.js';
import { moreUrgentKind, orderByIdHash, totalDemand } from './queries.js';
import { isFreshReport, type SchedulingState, type WorkKind } from './state.js';

/** Demand at or below this counts as none: an occasional request needs no engine of its own. */
const MIN_DEMAND_ENGINES = 0.02;

/** The border stays while its target is no further away: each move loses prefix caches. */
const BORDER_HYSTERESIS_ENGINES = 0.75;

/**
 * The engines of a service as one kind of work uses them. The border is the number of engines for
 * decode: the first ones by id hash.
 */
export interface EngineDivision<T> {
  /** The engines assigned to this kind, ending at the border. */
  readonly own: readonly T[];
  /** The engines assigned to the other kind, starting at the border. */
  readonly fallback: readonly T[];
}

/** Least engines per engine of demand for the more urgent kind, when there are not enough. */
const URGENT_HEADROOM_FACTOR = 1.15;

/**
 * Returns how many engines decode should have, not rounded: in proportion to its demand, but the
 * more urgent kind first gets enough for its demand with headroom.
 */
function targetDecodeEngines(
  state: SchedulingState,
  serviceId: string,
  engines: number,
  prefill: number,
  decode: number,
): number {
  const share = (engines * decode) / (prefill + decode);
  const urgent = moreUrgentKind(state, serviceId);
  if (urgent === 'decode') return Math.max(share, decode * URGENT_HEADROOM_FACTOR);
  if (urgent === 'prefill') return Math.min(share, engines - prefill * URGENT_HEADROOM_FACTOR);
  return share;
}

/**
 * Returns the border of the VM with the lowest id among this one and the peers with a fresh
 * border; undefined when that is this VM. VMs with different borders would mix both kinds of
 * work on the engines between them.
 */
function findLeaderBorder(
  { vmId, peers }: SchedulingState,
  serviceId: string,
  now: number,
): number | undefined {
  let lowest = vmId;
  let border: number | undefined;
  for (const [peerId, peer] of peers) {
    const peerBorder = isFreshReport(peer, now) ? peer.borders.get(serviceId) : undefined;
    if (peerBorder !== undefined && peerId < lowest) {
      lowest = peerId;
      border = peerBorder;
    }
  }
  return border;
}

/** Returns the border and stores it, so that small changes of the target do not move it. */
function updateBorder(
  state: SchedulingState,
  serviceId: string,
  engines: number,
  target: number,
  now: number,
): number {
  const { borders } = state;
  const previous = borders.get(serviceId) ?? Math.round(target);
  const ownMove =
    Math.abs(target - previous) > BORDER_HYSTERESIS_ENGINES ? Math.round(target) : previous;
  const moved = findLeaderBorder(state, serviceId, now) ?? ownMove;
  const border = Math.min(engines - 1, Math.max(1, moved));
  borders.set(serviceId, border);
  return border;
}

/**
 * Divides the engines of a service between prefill-bound and decode-bound requests by demand.
 * Long prefills lengthen every gap between events of the streams on the same engine, so the two
 * kinds are kept apart: they use the same order of engines from opposite ends.
 */
export function divideEngines<T extends RegisteredEndpoint>(
  state: SchedulingState,
  serviceId: string,
  endpoints: readonly T[],
  kind: WorkKind,
  now: number,
): EngineDivision<T> {
  const [prefill, decode] = totalDemand(state, serviceId, now);
  const isMixed = prefill > MIN_DEMAND_ENGINES && decode > MIN_DEMAND_ENGINES;
  const ordered = orderByIdHash(endpoints);
  if (!isMixed || endpoints.length < 2) return { own: ordered, fallback: [] };
  const target = targetDecodeEngines(state, serviceId, endpoints.length, prefill, decode);
  const border = updateBorder(state, serviceId, endpoints.length, target, now);
  const decodeEngines = ordered.slice(0, border);
  const prefillEngines = ordered.slice(border);
  return kind === 'decode'
    ? { own: decodeEngines, fallback: prefillEngines }
    : { own: prefillEngines.reverse(), fallback: decodeEngines.reverse() };
}
