import { recordCrash } from './commands.js';
import type { CrashReport } from './queries.js';
import type {
  AttemptTrial,
  EndpointTrace,
  LostAttempt,
  SuspectState,
  TracedAttempt,
} from './state.js';

/**
 * How long an attempt is kept after its loss; longer than a store takes to drop or renew the entry
 * of an endpoint that crashed.
 */
const LOST_ATTEMPT_TTL_MS = 10_000;

/** How long the end of an endpoint is kept, for attempts that are lost after it was found. */
const END_TTL_MS = 60_000;

/** Most lost attempts kept of one endpoint; the oldest is dropped first. */
const MAX_LOST_ATTEMPTS = 128;

function getOrCreateTrace(state: SuspectState, endpointId: string): EndpointTrace {
  let trace = state.endpointTraces.get(endpointId);
  if (trace === undefined) {
    trace = { lostAttempts: [], endedAt: null, silentSince: null, isSilent: false };
    state.endpointTraces.set(endpointId, trace);
  }
  return trace;
}

/** A crash of an endpoint, with what else is known of the attempt that it ended. */
export interface EndedAttempt extends Omit<CrashReport, 'fingerprint'> {
  /** Null when it does not speak against its request. */
  readonly fingerprint: string | null;
  readonly segmentIds: readonly string[];
  readonly serviceId: string;
  /** The trial that the attempt was; null for none. */
  readonly trial: AttemptTrial | null;
}

/**
 * Records the crash of a request and returns it dated by the end of its endpoint: attempts are lost long
 * after a silent end, and answers between speak for their segments.
 */
function reportCrash(
  state: SuspectState,
  endpointId: string,
  { isPresumedCrash, hasAnswer, isBroken, isSurvived, ...attempt }: TracedAttempt,
  silentSince: number,
): EndedAttempt {
  const { fingerprint, ...crash } = { ...attempt, endpointId, isAlone: false };
  if (fingerprint !== null) recordCrash(state, { fingerprint, ...crash });
  return { fingerprint, ...crash, at: Math.min(attempt.at, silentSince) };
}

/**
 * Records an attempt that ended without a complete answer. Returns the crash when its endpoint is
 * known to have ended since the attempt was sent, else null: a later sign may still show it.
 */
export function recordLostAttempt(
  state: SuspectState,
  endpointId: string,
  attempt: LostAttempt,
): EndedAttempt | null {
  const { lostAttempts, endedAt, silentSince } = getOrCreateTrace(state, endpointId);
  const traced = { ...attempt, isBroken: attempt.isPresumedCrash, isSurvived: false };
  if (endedAt !== null && endedAt >= attempt.startedAt) {
    return reportCrash(state, endpointId, traced, silentSince ?? endedAt);
  }
  lostAttempts.push(traced);
  if (lostAttempts.length > MAX_LOST_ATTEMPTS) lostAttempts.shift();
  return null;
}

/**
 * When an endpoint has ended: `recent` when it gives no sign of life now, so that it lived when it was
 * last heard; `unknown` when it may have been another one since, under its id.
 */
export type EndTime = 'recent' | 'unknown';

/**
 * Records that an endpoint was found to have ended, whether or not it is back; it has given no sign of
 * life since `silentSince`. Its lost attempts were ended by a crash; returns these crashes.
 */
export function recordEndpointEnd(
  state: SuspectState,
  endpointId: string,
  now: number,
  time: EndTime = 'unknown',
  silentSince = now,
): EndedAttempt[] {
  const trace = getOrCreateTrace(state, endpointId);
  trace.endedAt = now;
  // The entry of an endpoint that fell silent is removed later: it ended once.
  const isKnown = time === 'unknown' && trace.isSilent;
  const endedBy = isKnown ? (trace.silentSince ?? silentSince) : silentSince;
  trace.silentSince = endedBy;
  trace.isSilent = time === 'recent';
  const attempts = trace.lostAttempts.splice(0);
  const isEnded = ({ isSurvived }: TracedAttempt) => time === 'unknown' || !isSurvived;
  trace.lostAttempts.push(...attempts.filter((attempt) => !isEnded(attempt)));
  return attempts
    .filter(({ at }) => at >= now - LOST_ATTEMPT_TTL_MS)
    .filter(isEnded)
    .map((attempt) => reportCrash(state, endpointId, attempt, endedBy));
}

/** Records that an endpoint sent something after `since`: attempts given up before did not end it. */
export function recordEndpointHeard(state: SuspectState, endpointId: string, since: number): void {
  const trace = state.endpointTraces.get(endpointId);
  if (trace === undefined) return;
  if (trace.silentSince !== null && trace.silentSince < since) trace.isSilent = false;
  trace.lostAttempts.forEach((attempt) => {
    attempt.isSurvived ||= !attempt.isBroken && attempt.at <= since;
  });
}

/**
 * Records that an endpoint answered a health check that began at `checkedAt`. Returns the attempts
 * lost before it.
 */
export function recordEndpointAlive(
  state: SuspectState,
  endpointId: string,
  checkedAt: number,
): LostAttempt[] {
  const { lostAttempts = [] } = state.endpointTraces.get(endpointId) ?? {};
  const survived = lostAttempts.filter(({ at }) => at <= checkedAt);
  survived.forEach((attempt) => {
    attempt.isPresumedCrash = false;
  });
  recordEndpointHeard(state, endpointId, checkedAt);
  return survived;
}

/** Removes the attempts lost since an instant at an endpoint, for what ended them is another cause. */
export function removeLostAttempts(state: SuspectState, endpointId: string, since: number): void {
  const lostAttempts = state.endpointTraces.get(endpointId)?.lostAttempts;
  lostAttempts?.splice(0, lostAttempts.length, ...lostAttempts.filter(({ at }) => at < since));
}

/** Removes lost attempts and ends of endpoints that are too old to matter. */
export function removeExpiredTraces(state: SuspectState, now: number): void {
  state.endpointTraces.forEach((trace, endpointId) => {
    const recent = trace.lostAttempts.filter(({ at }) => at >= now - LOST_ATTEMPT_TTL_MS);
    trace.lostAttempts.splice(0, trace.lostAttempts.length, ...recent);
    const isEndExpired = trace.endedAt === null || trace.endedAt < now - END_TTL_MS;
    if (isEndExpired && recent.length === 0) state.endpointTraces.delete(endpointId);
  });
}
