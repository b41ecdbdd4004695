import type { PoolId } from '../types/index.js';
import type { EndpointCrashes, SuspectState } from './state.js';

/** How long a crash counts against a request, in milliseconds. */
export const CRASH_TTL_MS = 600_000;

/** Crashes after which a request is a suspect, which runs in isolation only. */
const CRASHES_TO_SUSPECT = 2;

/** Crashed endpoints after which a request is refused; a single crash in isolation suffices. */
const ENDPOINTS_TO_REFUSE = 3;

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

function listRecentCrashes(
  state: SuspectState,
  fingerprint: string,
  now: number,
): EndpointCrashes[] {
  const crashes = state.crashHistories.get(fingerprint)?.crashes.values() ?? [];
  return [...crashes].filter(({ at }) => at >= now - CRASH_TTL_MS);
}

/** Returns whether any crash is recorded; while none is, requests need no fingerprint. */
export function hasRecordedCrashes({ crashHistories }: SuspectState): boolean {
  return crashHistories.size > 0;
}

/** Decides whether a request may run with others (`innocent`), in isolation only, or not at all. */
export function classifyRequest(
  state: SuspectState,
  fingerprint: string,
  now: number,
): 'innocent' | 'suspect' | 'refused' {
  if (!hasRecordedCrashes(state)) return 'innocent';
  const crashes = listRecentCrashes(state, fingerprint, now);
  const crashCount = crashes.reduce((sum, crash) => sum + crash.crashCount, 0);
  if (crashCount < CRASHES_TO_SUSPECT) return 'innocent';
  const isConfirmed = crashes.length >= ENDPOINTS_TO_REFUSE || crashes.some((c) => c.isAlone);
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
  const crashes = recent.reduce((sum, { crashCount }) => sum + crashCount, 0);
  return { crashes, endpoints: recent.length };
}

/** Counts the recent crashes of all requests, by endpoint and request. */
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
  return state.crashHistories.get(fingerprint)?.crashes.has(endpointId) ?? false;
}

/** Lists the crashes to report in a heartbeat, a bounded number, most recent requests first. */
export function listCrashes(state: SuspectState, now: number): CrashReport[] {
  const found: CrashReport[] = [];
  for (const [fingerprint, { crashes }] of [...state.crashHistories].reverse()) {
    for (const [endpointId, { at, startedAt, isAlone }] of crashes) {
      if (at >= now - CRASH_TTL_MS) found.push({ fingerprint, endpointId, at, startedAt, isAlone });
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
