import type { PoolId } from '../types/index.js';
import type { CrashHistory, SuspectState } from './state.js';

/** How long the crashes of a request count, from the latest one on; milliseconds. */
export const CRASH_TTL_MS = 600_000;

/** Crashes after which a request is a suspect, which runs in isolation only. */
export const CRASHES_TO_SUSPECT = 2;

/** Crashes after which a request is refused; a single one in isolation suffices. */
const CRASHES_TO_REFUSE = 3;

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
export function latestCrashAt({ crashes, refusedAt }: CrashHistory): number {
  return crashes.reduce((latest, { at }) => Math.max(latest, at), refusedAt ?? 0);
}

/** Returns whether a request's recorded crashes suffice to refuse it. */
export function isConfirmedCause({ crashes, refusedAt }: CrashHistory): boolean {
  const wasAlone = crashes.some(({ isAlone }) => isAlone);
  const crashesToRefuse = wasAlone ? CRASHES_TO_SUSPECT : CRASHES_TO_REFUSE;
  return refusedAt !== null || crashes.length >= crashesToRefuse;
}

function findRecentHistory(
  { crashHistories }: SuspectState,
  fingerprint: string,
  now: number,
): CrashHistory | undefined {
  const history = crashHistories.get(fingerprint);
  const isRecent = history !== undefined && latestCrashAt(history) >= now - CRASH_TTL_MS;
  return isRecent ? history : undefined;
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

/** Returns whether connections to an endpoint broke that has answered no health check since. */
export function hasBrokenAttempts({ endpointTraces }: SuspectState, endpointId: string): boolean {
  const { lostAttempts = [] } = endpointTraces.get(endpointId) ?? {};
  return lostAttempts.some(({ isPresumedCrash }) => isPresumedCrash);
}

/** Decides whether a request may run with others (`innocent`), in isolation only, or not at all. */
export function classifyRequest(
  state: SuspectState,
  fingerprint: string,
  now: number,
): 'innocent' | 'suspect' | 'refused' {
  const history = findRecentHistory(state, fingerprint, now);
  if (history === undefined) return 'innocent';
  if (isConfirmedCause(history)) return 'refused';
  const crashCount = history.crashes.length + countPresumedCrashes(state, fingerprint);
  if (crashCount < CRASHES_TO_SUSPECT) return 'innocent';
  return crashCount < CRASHES_TO_REFUSE ? 'suspect' : 'refused';
}

/** What a VM knows of the crashes of one request. */
export interface CrashCount {
  readonly crashes: number;
  /** Distinct ids of the endpoints that crashed. */
  readonly endpoints: number;
}

/** Counts the recent crashes of a request. */
export function countCrashes(state: SuspectState, fingerprint: string, now: number): CrashCount {
  const { crashes = [] } = findRecentHistory(state, fingerprint, now) ?? {};
  const endpoints = new Set(crashes.map(({ endpointId }) => endpointId));
  return { crashes: crashes.length, endpoints: endpoints.size };
}

/** Counts the crashes of all requests. */
export function countKnownCrashes({ crashHistories }: SuspectState): number {
  let known = 0;
  for (const { crashes } of crashHistories.values()) known += crashes.length;
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

/** Returns whether an endpoint is reserved for a suspect of a pool. */
export function isReservedForSuspect(
  state: SuspectState,
  pool: PoolId,
  endpointId: string,
): boolean {
  return state.isolations.get(pool)?.endpointId === endpointId;
}
