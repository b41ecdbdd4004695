import { recordCrash } from './commands.js';
import type { CrashReport } from './queries.js';
import type { AttemptTrial, EndpointTrace, LostAttempt, SuspectState } from './state.js';

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
    trace = { lostAttempts: [], endedAt: null };
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

function createReport(
  endpointId: string,
  { isPresumedCrash, hasAnswer, ...attempt }: LostAttempt,
): EndedAttempt {
  return { ...attempt, endpointId, isAlone: false };
}

function recordRequestCrash(state: SuspectState, { fingerprint, ...crash }: EndedAttempt): void {
  if (fingerprint !== null) recordCrash(state, { fingerprint, ...crash });
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
  const { lostAttempts, endedAt } = getOrCreateTrace(state, endpointId);
  if (endedAt !== null && endedAt >= attempt.startedAt) {
    const report = createReport(endpointId, attempt);
    recordRequestCrash(state, report);
    return report;
  }
  lostAttempts.push(attempt);
  if (lostAttempts.length > MAX_LOST_ATTEMPTS) lostAttempts.shift();
  return null;
}

/**
 * Records that an endpoint was found to have ended, whether or not it is back. Its lost attempts
 * were ended by a crash; returns these crashes.
 */
export function recordEndpointEnd(
  state: SuspectState,
  endpointId: string,
  now: number,
): EndedAttempt[] {
  const trace = getOrCreateTrace(state, endpointId);
  trace.endedAt = now;
  const reports = trace.lostAttempts
    .splice(0)
    .filter(({ at }) => at >= now - LOST_ATTEMPT_TTL_MS)
    .map((attempt) => createReport(endpointId, attempt));
  reports.forEach((report) => recordRequestCrash(state, report));
  return reports;
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
