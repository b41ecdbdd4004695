import { applyLimitStatement } from './commands.js';
import { ownArrivals } from './divideLimits.js';
import type { PeerArrivals, RequestLimitState } from './state.js';
import { updateCredits } from './updateCredits.js';

/** Most limits, and most endpoints with sends, in one message. */
const MAX_REPORTED_LIMITS = 64;

/** A peer's statement must be newer by this to be a repetition that counts. */
const MIN_REPETITION_MS = 250;

/**
 * A peer's higher limit, or its end, counts only when the endpoint said so this long after the last
 * change: answers to several VMs may overtake each other.
 */
const MIN_RISE_MS = 500;

/** Lowest fleet credit that reports of sends lead to. */
const MIN_FLEET_CREDIT = -8;

/** A limit as VMs report it to each other. */
export interface LimitReport {
  readonly endpointId: string;
  /** Requests a second from all VMs together; null when it has ended. */
  readonly perSecond: number | null;
  /** Time since the endpoint last said so, in milliseconds: the clocks of VMs differ. */
  readonly ageMs: number;
}

/** Requests and health checks that a VM has sent to an endpoint since its last report. */
export interface SendReport {
  readonly endpointId: string;
  readonly sends: number;
}

/** What one VM tells its peers about limits. */
export interface LimitReports {
  readonly limits: readonly LimitReport[];
  readonly sends: readonly SendReport[];
  /** Requests a second that arrive at the VM by service id; null when it knows no limit. */
  readonly arrivals: ReadonlyMap<string, number> | null;
}

/** Takes the limits to report in the next message: a bounded number, in turn. */
export function takeLimitReports(state: RequestLimitState, now: number): LimitReport[] {
  const taken = [...state.limits].slice(0, MAX_REPORTED_LIMITS);
  if (state.limits.size > MAX_REPORTED_LIMITS) {
    taken.forEach(([endpointId, limit]) => {
      state.limits.delete(endpointId);
      state.limits.set(endpointId, limit);
    });
  }
  return taken.map(([endpointId, { perSecond, toldAt }]) => ({
    endpointId,
    perSecond,
    ageMs: Math.max(0, Math.round(now - toldAt)),
  }));
}

/** Takes the sends to report in the next message. */
export function takeSendReports({ limits }: RequestLimitState): SendReport[] {
  const reports: SendReport[] = [];
  for (const [endpointId, limit] of limits) {
    if (reports.length === MAX_REPORTED_LIMITS) break;
    if (limit.unreportedSends > 0) {
      reports.push({ endpointId, sends: limit.unreportedSends });
      limit.unreportedSends = 0;
    }
  }
  return reports;
}

/** Returns the arrivals to report to peers; null while no limit is known. */
export function listArrivals(
  state: RequestLimitState,
  now: number,
): ReadonlyMap<string, number> | null {
  if (state.limits.size === 0) return null;
  const ids = [...state.arrivals.keys()];
  return new Map(ids.map((serviceId) => [serviceId, ownArrivals(state, serviceId, now)]));
}

/** Records that a peer was heard, and the arrivals that it reports. */
export function recordPeerArrivals(
  { peers }: RequestLimitState,
  peerId: string,
  arrivals: PeerArrivals,
): void {
  peers.set(peerId, arrivals);
}

function isAccepted(
  { limits }: RequestLimitState,
  { endpointId, perSecond }: LimitReport,
  toldAt: number,
): boolean {
  const limit = limits.get(endpointId);
  if (limit === undefined) return perSecond !== null;
  if (limit.perSecond === perSecond) return toldAt > limit.toldAt + MIN_REPETITION_MS;
  const asNumber = (value: number | null) => value ?? Number.POSITIVE_INFINITY;
  const isRise = asNumber(perSecond) > asNumber(limit.perSecond);
  return toldAt > limit.toldAt && (!isRise || toldAt > limit.changedAt + MIN_RISE_MS);
}

/** Records the limits that a peer knows; returns those that change a limit here. */
export function recordPeerLimits(
  state: RequestLimitState,
  peerId: string,
  reports: readonly LimitReport[],
  now: number,
): LimitReport[] {
  return reports.filter((report) => {
    const { endpointId, perSecond, ageMs } = report;
    const toldAt = now - ageMs;
    if (!isAccepted(state, report, toldAt)) return false;
    const statement = { endpointId, perSecond, toldAt, toldTo: peerId };
    return applyLimitStatement(state, statement, now);
  });
}

/** Takes the sends of a peer from the credit that all VMs share. */
export function recordPeerSends(
  { limits }: RequestLimitState,
  reports: readonly SendReport[],
  now: number,
): void {
  reports.forEach(({ endpointId, sends }) => {
    const limit = limits.get(endpointId);
    if (limit === undefined || limit.perSecond === null) return;
    updateCredits(limit, now);
    limit.fleetCredit = Math.max(MIN_FLEET_CREDIT, limit.fleetCredit - sends);
  });
}
