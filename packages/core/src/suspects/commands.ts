import type { PoolId } from '../types/index.js';
import { CRASH_TTL_MS, latestCrashAt, type CrashReport } from './queries.js';
import type { Crash, CrashHistory, Isolation, SuspectState } from './state.js';

/** Most fingerprints kept; the one with the oldest latest crash is evicted first. */
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

/** Records a crash; returns false when it was known already. */
export function recordCrash(state: SuspectState, crash: CrashReport): boolean {
  const history = state.crashHistories.get(crash.fingerprint) ?? { crashes: [] };
  // Re-inserted to keep the map ordered by the latest crash.
  state.crashHistories.delete(crash.fingerprint);
  state.crashHistories.set(crash.fingerprint, history);
  if (state.crashHistories.size > MAX_FINGERPRINTS) {
    state.crashHistories.delete(state.crashHistories.keys().next().value!);
  }
  return addCrash(history, crash);
}

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
    if (crash.at > now + MAX_CLOCK_SKEW_MS || crash.at < now - CRASH_TTL_MS) continue;
    recordCrash(state, crash);
  }
}

/**
 * Removes a request's crashes after an endpoint has answered it in full: another request caused
 * them.
 */
export function clearCrashes(state: SuspectState, fingerprint: string): void {
  state.crashHistories.delete(fingerprint);
}

/** Removes the histories whose latest crash is older than `CRASH_TTL_MS`. */
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
