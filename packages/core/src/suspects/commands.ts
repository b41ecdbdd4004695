import type { PoolId } from '../types/index.js';
import type { RequestTime } from './crashReports.js';
import { CRASH_TTL_MS, isConfirmedCause, latestCrashAt, type CrashReport } from './queries.js';
import type { Crash, CrashHistory, Isolation, SuspectState } from './state.js';

/** Most fingerprints kept. */
const MAX_FINGERPRINTS = 2000;

/** How long an answer is reported: all peers have heard of it by then. */
const ANSWER_TTL_MS = 30_000;

/**
 * Largest lead of a peer's clock; a crash reported further in the future is ignored. The clock of a
 * VM stands still while it is suspended.
 */
const MAX_CLOCK_SKEW_MS = CRASH_TTL_MS;

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
    const rank = isConfirmedCause(history) ? MAX_CRASHES_PER_REQUEST : history.crashes.length;
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

function isAnsweredSince({ answeredAt }: SuspectState, fingerprint: string, at: number): boolean {
  return at <= (answeredAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY);
}

/** Records a crash; returns false when it was known already or the request was answered since. */
export function recordCrash(state: SuspectState, crash: CrashReport): boolean {
  if (isAnsweredSince(state, crash.fingerprint, crash.at)) return false;
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
    if (!isCredible(at, now) || isAnsweredSince(state, fingerprint, at)) continue;
    const history = getOrCreateHistory(state, fingerprint);
    history.refusedAt = Math.max(history.refusedAt ?? 0, at);
  }
}

function removeAnsweredCrashes(state: SuspectState, fingerprint: string, at: number): void {
  const history = state.crashHistories.get(fingerprint);
  if (history === undefined) return;
  const later = history.crashes.filter((crash) => crash.at > at);
  history.crashes.splice(0, history.crashes.length, ...later);
  if (history.refusedAt !== null && history.refusedAt <= at) history.refusedAt = null;
  if (later.length === 0 && history.refusedAt === null) state.crashHistories.delete(fingerprint);
  const latest = Math.max(at, state.answeredAt.get(fingerprint) ?? at);
  state.answeredAt.delete(fingerprint);
  state.answeredAt.set(fingerprint, latest);
  if (state.answeredAt.size > MAX_FINGERPRINTS) {
    state.answeredAt.delete(state.answeredAt.keys().next().value!);
  }
}

/**
 * Removes a request's crashes after an endpoint has answered it in full: another request caused
 * them.
 */
export function clearCrashes(state: SuspectState, fingerprint: string, now: number): void {
  state.endpointTraces.forEach(({ lostAttempts }) => {
    const others = lostAttempts.filter((attempt) => attempt.fingerprint !== fingerprint);
    lostAttempts.splice(0, lostAttempts.length, ...others);
  });
  removeAnsweredCrashes(state, fingerprint, now);
}

/** Records the requests that a peer reports as answered in full. */
export function recordPeerAnswers(
  state: SuspectState,
  answers: readonly RequestTime[],
  now: number,
): void {
  for (const { fingerprint, at } of answers) {
    if (isCredible(at, now)) removeAnsweredCrashes(state, fingerprint, at);
  }
}

/** Removes crashes that have another cause than the requests they are recorded against. */
export function removeCrashes(state: SuspectState, hasOtherCause: (crash: Crash) => boolean): void {
  state.crashHistories.forEach(({ crashes }, fingerprint) => {
    const left = crashes.filter((crash) => !hasOtherCause(crash));
    if (left.length === crashes.length) return;
    crashes.splice(0, crashes.length, ...left);
    if (left.length === 0) state.crashHistories.delete(fingerprint);
  });
}

/** Removes crashes and answers that are too old to count. */
export function removeExpiredCrashes(state: SuspectState, now: number): void {
  state.crashHistories.forEach((history, fingerprint) => {
    if (latestCrashAt(history) < now - CRASH_TTL_MS) state.crashHistories.delete(fingerprint);
  });
  state.answeredAt.forEach((at, fingerprint) => {
    if (at < now - ANSWER_TTL_MS) state.answeredAt.delete(fingerprint);
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
