import type { PoolId } from '../types/index.js';
import type { Crash, CrashHistory, SuspectState } from './state.js';

/** How long the crashes of a request count, from the latest one on; milliseconds. */
export const CRASH_TTL_MS = 600_000;

/** Crashes after which a request is a suspect, which runs in isolation only. */
const CRASHES_TO_SUSPECT = 2;

/** Crashes after which a request is refused; a single one in isolation suffices. */
const CRASHES_TO_REFUSE = 3;

/** Most crashes reported in one heartbeat. */
const MAX_REPORTED_CRASHES = 16;

/** A crash of an endpoint while it ran a request. */
export interface CrashReport {
  /** Hash that identifies the request's content. */
  readonly fingerprint: string;
  readonly endpointId: string;
  /** Time of the crash; epoch milliseconds. */
  readonly at: number;
  /** Time at which the attempt was sent to the endpoint; epoch milliseconds. */
  readonly startedAt: number;
  /** True when the request ran in isolation. */
  readonly isAlone: boolean;
}

/** Returns the time of a request's latest crash; epoch milliseconds. */
export function latestCrashAt({ crashes }: CrashHistory): number {
  return crashes.reduce((latest, { at }) => Math.max(latest, at), 0);
}

function listRecentCrashes(
  state: SuspectState,
  fingerprint: string,
  now: number,
): readonly Crash[] {
  const history = state.crashHistories.get(fingerprint);
  return history !== undefined && latestCrashAt(history) >= now - CRASH_TTL_MS
    ? history.crashes
    : [];
}

/** Returns whether any crash is recorded; while none is, requests need no fingerprint. */
export function hasRecordedCrashes({ crashHistories }: SuspectState): boolean {
  return crashHistories.size > 0;
}

/** Counts the endpoints at which a connection broke under a request and no health check succeeded. */
function countPresumedCrashes({ endpointTraces }: SuspectState, fingerprint: string): number {
  let count = 0;
  for (const { lostAttempts } of endpointTraces.values()) {
    const isPresumed = lostAttempts.some(
      (attempt) => attempt.isPresumedCrash && attempt.fingerprint === fingerprint,
    );
    if (isPresumed) count += 1;
  }
  return count;
}

/** Returns whether an endpoint has lost attempts that a sign of its end would turn into crashes. */
export function hasLostAttempts({ endpointTraces }: SuspectState, endpointId: string): boolean {
  return (endpointTraces.get(endpointId)?.lostAttempts.length ?? 0) > 0;
}

/** Decides whether a request may run with others (`innocent`), in isolation only, or not at all. */
export function classifyRequest(
  state: SuspectState,
  fingerprint: string,
  now: number,
): 'innocent' | 'suspect' | 'refused' {
  if (!hasRecordedCrashes(state)) return 'innocent';
  const crashes = listRecentCrashes(state, fingerprint, now);
  if (crashes.length === 0) return 'innocent';
  const crashCount = crashes.length + countPresumedCrashes(state, fingerprint);
  if (crashCount < CRASHES_TO_SUSPECT) return 'innocent';
  const isConfirmed = crashCount >= CRASHES_TO_REFUSE || crashes.some(({ isAlone }) => isAlone);
  return isConfirmed ? 'refused' : 'suspect';
}

/** What a VM knows of the crashes of one request. */
export interface CrashCount {
  readonly crashes: number;
  /** Distinct ids of the endpoints that crashed. */
  readonly endpoints: number;
}

/** Counts the recent crashes of a request. */
export function countCrashes(state: SuspectState, fingerprint: string, now: number): CrashCount {
  const recent = listRecentCrashes(state, fingerprint, now);
  const endpoints = new Set(recent.map(({ endpointId }) => endpointId));
  return { crashes: recent.length, endpoints: endpoints.size };
}

/** Counts the recent crashes of all requests. */
export function countKnownCrashes(state: SuspectState, now: number): number {
  let known = 0;
  for (const fingerprint of state.crashHistories.keys()) {
    known += listRecentCrashes(state, fingerprint, now).length;
  }
  return known;
}

/** Returns whether an endpoint crashed while it ran a request. */
export function hasCrashedEndpoint(
  state: SuspectState,
  fingerprint: string,
  endpointId: string,
): boolean {
  const { crashes = [] } = state.crashHistories.get(fingerprint) ?? {};
  return crashes.some((crash) => crash.endpointId === endpointId);
}

/** Lists the crashes to report in a heartbeat, a bounded number, most recent requests first. */
export function listCrashes(state: SuspectState, now: number): CrashReport[] {
  const found: CrashReport[] = [];
  for (const fingerprint of [...state.crashHistories.keys()].reverse()) {
    for (const { endpointId, at, startedAt, isAlone } of listRecentCrashes(
      state,
      fingerprint,
      now,
    )) {
      found.push({ fingerprint, endpointId, at, startedAt, isAlone });
      if (found.length === MAX_REPORTED_CRASHES) return found;
    }
  }
  return found;
}

/** Returns whether an endpoint is reserved for a suspect of a pool. */
export function isReservedForSuspect(
  state: SuspectState,
  pool: PoolId,
  endpointId: string,
): boolean {
  return state.isolations.get(pool)?.endpointId === endpointId;
}
