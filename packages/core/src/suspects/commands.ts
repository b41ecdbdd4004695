import type { PoolId } from '../types/index.js';
import type { RequestTime } from './crashReports.js';
import { CRASH_TTL_MS, latestCrashAt, type CrashReport } from './queries.js';
import type { Crash, CrashHistory, Isolation, SuspectState } from './state.js';

/** Most fingerprints kept. */
const MAX_FINGERPRINTS = 2000;

/** Largest lead of a peer's clock; a crash reported further in the future is ignored. */
const MAX_CLOCK_SKEW_MS = 5000;

/** Most crashes kept of one request; more add nothing to the verdict. */
const MAX_CRASHES_PER_REQUEST = 8;

function isSameCrash(known: Crash, { endpointId, startedAt, at }: CrashReport): boolean {
  if (known.endpointId !== endpointId) return false;
  const isIdentical = known.startedAt === startedAt && known.at === at;
  return isIdentical || (startedAt < known.at && known.startedAt < at);
}

/** Adds a crash to a request's history; returns false when it tells nothing new. */
function addCrash({ crashes }: CrashHistory, report: CrashReport): boolean {
  const { endpointId, startedAt, at, isAlone } = report;
  const known = crashes.find((crash) => isSameCrash(crash, report));
  if (known === undefined) {
    if (crashes.length === MAX_CRASHES_PER_REQUEST) crashes.shift();
    crashes.push({ endpointId, startedAt, at, isAlone });
    return true;
  }
  const isNew = isAlone && !known.isAlone;
  known.startedAt = Math.max(known.startedAt, startedAt);
  known.at = Math.min(known.at, at);
  known.isAlone ||= isAlone;
  return isNew;
}

// Refused requests are kept longest, then those with more crashes, then later ones.
function evictOne(histories: Map<string, CrashHistory>): void {
  let least: { fingerprint: string; rank: number; at: number } | null = null;
  for (const [fingerprint, history] of histories) {
    const rank = history.refusedAt === null ? history.crashes.length : MAX_CRASHES_PER_REQUEST;
    const at = latestCrashAt(history);
    if (least === null || rank < least.rank || (rank === least.rank && at < least.at)) {
      least = { fingerprint, rank, at };
    }
  }
  if (least !== null) histories.delete(least.fingerprint);
}

function getOrCreateHistory({ crashHistories }: SuspectState, fingerprint: string): CrashHistory {
  let history = crashHistories.get(fingerprint);
  if (history === undefined) {
    if (crashHistories.size === MAX_FINGERPRINTS) evictOne(crashHistories);
    history = { crashes: [], refusedAt: null };
    crashHistories.set(fingerprint, history);
  }
  return history;
}

/** Records a crash; returns false when it was known already. */
export function recordCrash(state: SuspectState, crash: CrashReport): boolean {
  return addCrash(getOrCreateHistory(state, crash.fingerprint), crash);
}

const isCredible = (at: number, now: number) =>
  at <= now + MAX_CLOCK_SKEW_MS && at >= now - CRASH_TTL_MS;

/**
 * Records the crashes that a peer reports. They are hints: a wrong one at worst makes a request
 * wait, run in isolation or be refused until it expires.
 */
export function recordPeerCrashes(
  state: SuspectState,
  crashes: readonly CrashReport[],
  now: number,
): void {
  for (const crash of crashes) {
    if (isCredible(crash.at, now)) recordCrash(state, crash);
  }
}

/** Records the requests that a peer refuses, with the times of their latest crashes. */
export function recordPeerRefusals(
  state: SuspectState,
  refusals: readonly RequestTime[],
  now: number,
): void {
  for (const { fingerprint, at } of refusals) {
    if (!isCredible(at, now)) continue;
    const history = getOrCreateHistory(state, fingerprint);
    history.refusedAt = Math.max(history.refusedAt ?? 0, at);
  }
}

/**
 * Removes a request's crashes after an endpoint has answered it in full: another request caused
 * them.
 */
export function clearCrashes(state: SuspectState, fingerprint: string): void {
  state.crashHistories.delete(fingerprint);
}

/** Removes crashes that are too old to count. */
export function removeExpiredCrashes(state: SuspectState, now: number): void {
  state.crashHistories.forEach((history, fingerprint) => {
    if (latestCrashAt(history) < now - CRASH_TTL_MS) state.crashHistories.delete(fingerprint);
  });
}

/** Queues a suspect for an isolated run. */
export function enqueueSuspect(
  state: SuspectState,
  pool: PoolId,
  requestId: string,
  now: number,
): void {
  const isolation: Isolation = state.isolations.get(pool) ?? {
    waiting: [],
    endpointId: null,
    runningId: null,
  };
  isolation.waiting.push({ requestId, queuedAt: now });
  state.isolations.set(pool, isolation);
}

/** Removes a suspect from the queue, or ends its run and frees the reserved endpoint. */
export function releaseSuspect(state: SuspectState, pool: PoolId, requestId: string): void {
  const isolation = state.isolations.get(pool);
  if (isolation === undefined) return;
  const index = isolation.waiting.findIndex((suspect) => suspect.requestId === requestId);
  if (index >= 0) isolation.waiting.splice(index, 1);
  if (isolation.runningId === requestId) {
    isolation.runningId = null;
    isolation.endpointId = null;
  }
  if (isolation.waiting.length === 0 && isolation.runningId === null) state.isolations.delete(pool);
}
