import {
  CRASH_TTL_MS,
  CRASHES_TO_SUSPECT,
  isConfirmedCause,
  latestCrashAt,
  type CrashReport,
} from './queries.js';
import type { CrashHistory, SuspectState } from './state.js';

/** Most crashes in one message. */
export const MAX_REPORTED_CRASHES = 32;

/** Most of these that are of suspects; the rest is for requests with a single crash. */
const MAX_SUSPECT_CRASHES = 24;

/** Most crashes reported of one request: as many as refuse it. */
const MAX_REPORTED_PER_REQUEST = 3;

/** Most refused requests in one message. */
const MAX_REPORTED_REFUSALS = 64;

/** Most answered requests in one message. */
const MAX_REPORTED_ANSWERS = 32;

/** A request and a time. */
export interface RequestTime {
  /** Hash that identifies the request's content. */
  readonly fingerprint: string;
  /** Epoch milliseconds. */
  readonly at: number;
}

// Moves the reported entries behind the others, so that each gets its turn.
function rotate<T>(entries: Map<string, T>, reported: readonly string[]): void {
  reported.forEach((fingerprint) => {
    const entry = entries.get(fingerprint)!;
    entries.delete(fingerprint);
    entries.set(fingerprint, entry);
  });
}

function createReports(fingerprint: string, { crashes }: CrashHistory): CrashReport[] {
  const isolatedFirst = [...crashes].sort((a, b) => Number(b.isAlone) - Number(a.isAlone));
  return isolatedFirst
    .slice(0, MAX_REPORTED_PER_REQUEST)
    .map(({ endpointId, at, startedAt, isAlone }) => ({
      fingerprint,
      endpointId,
      at,
      startedAt,
      isAlone,
    }));
}

/**
 * Takes the crashes to report in the next message: a bounded number, those reported longest ago
 * first, of suspects before others.
 */
export function takeCrashReports(state: SuspectState): CrashReport[] {
  const ofSuspects: CrashReport[] = [];
  const ofOthers: CrashReport[] = [];
  for (const [fingerprint, history] of state.crashHistories) {
    const isSuspect = history.crashes.length >= CRASHES_TO_SUSPECT;
    const reports = isSuspect ? ofSuspects : ofOthers;
    const room = (isSuspect ? MAX_SUSPECT_CRASHES : MAX_REPORTED_CRASHES) - reports.length;
    if (room >= Math.min(history.crashes.length, MAX_REPORTED_PER_REQUEST)) {
      reports.push(...createReports(fingerprint, history));
    }
  }
  const taken = [...ofSuspects, ...ofOthers].slice(0, MAX_REPORTED_CRASHES);
  rotate(state.crashHistories, [...new Set(taken.map(({ fingerprint }) => fingerprint))]);
  return taken;
}

/** Takes the refused requests to report in the next message, with their latest crashes. */
export function takeRefusalReports(state: SuspectState, now: number): RequestTime[] {
  const reports: RequestTime[] = [];
  for (const [fingerprint, history] of state.crashHistories) {
    if (reports.length === MAX_REPORTED_REFUSALS) break;
    const at = latestCrashAt(history);
    if (isConfirmedCause(history) && at >= now - CRASH_TTL_MS) reports.push({ fingerprint, at });
  }
  const reported = reports.map(({ fingerprint }) => fingerprint);
  if (reports.length === MAX_REPORTED_REFUSALS) rotate(state.crashHistories, reported);
  return reports;
}

/** Takes the requests to report as answered in the next message, with the times of the answers. */
export function takeAnswerReports(state: SuspectState): RequestTime[] {
  const reports = [...state.answeredAt]
    .slice(0, MAX_REPORTED_ANSWERS)
    .map(([fingerprint, at]) => ({ fingerprint, at }));
  rotate(
    state.answeredAt,
    reports.map(({ fingerprint }) => fingerprint),
  );
  return reports;
}
