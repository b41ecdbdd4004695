import type { PoolId } from '../types/index.js';
import { FADE_MS, type CrashNews } from './queries.js';
import type { Crash, Evidence, Isolation, SuspectState } from './state.js';

/** Most fingerprints kept; the one whose evidence is oldest goes first. */
const MOST_FINGERPRINTS = 2000;

/** A peer's clock may be ahead by this; what lies further ahead is not believed. */
const CLOCK_SKEW_MS = 5000;

/** Adds a crash to what is known of an endpoint; false when it was known already. */
function addCrash(known: Evidence, { endpointId, at, startedAt, isAlone }: CrashNews): boolean {
  const before = known.crashes.get(endpointId);
  if (before === undefined) {
    known.crashes.set(endpointId, { at, startedAt, times: 1, isAlone });
    return true;
  }
  // One crash ends many attempts, on many VMs; one sent after it met another.
  const isLater = startedAt >= before.at;
  const isNews = isLater || (isAlone && !before.isAlone);
  before.times += isLater ? 1 : 0;
  if (at > before.at) {
    before.at = at;
    before.startedAt = startedAt;
  }
  before.isAlone ||= isAlone;
  return isNews;
}

/** Records that an endpoint crashed with a request in flight; false when that was known. */
export function recordCrash(state: SuspectState, news: CrashNews): boolean {
  const known = state.evidence.get(news.fingerprint) ?? { crashes: new Map<string, Crash>() };
  // Re-inserted, so that the map's order is the order of the latest evidence.
  state.evidence.delete(news.fingerprint);
  state.evidence.set(news.fingerprint, known);
  if (state.evidence.size > MOST_FINGERPRINTS) {
    state.evidence.delete(state.evidence.keys().next().value!);
  }
  return addCrash(known, news);
}

/** Takes in what a peer saw; hints, which at worst make a request run alone or wait. */
export function learnCrashes(state: SuspectState, news: readonly CrashNews[], now: number): void {
  for (const crash of news) {
    if (crash.at > now + CLOCK_SKEW_MS || crash.at < now - FADE_MS) continue;
    recordCrash(state, crash);
  }
}

/** Forgets a fingerprint that an endpoint has answered whole: it was in bad company only. */
export function clearSuspect(state: SuspectState, fingerprint: string): void {
  state.evidence.delete(fingerprint);
}

/** Forgets evidence that has faded. */
export function fadeEvidence(state: SuspectState, now: number): void {
  for (const [fingerprint, { crashes }] of state.evidence) {
    crashes.forEach(({ at }, endpointId) => {
      if (at < now - FADE_MS) crashes.delete(endpointId);
    });
    if (crashes.size === 0) state.evidence.delete(fingerprint);
  }
}

/** Puts a suspect in line for an endpoint of its own. */
export function isolateRequest(
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
  isolation.waiting.push({ requestId, since: now });
  state.isolations.set(pool, isolation);
}

/** Takes a suspect out of line, or ends its run; the endpoint kept for it is free again. */
export function releaseSuspect(state: SuspectState, pool: PoolId, requestId: string): void {
  const isolation = state.isolations.get(pool);
  if (isolation === undefined) return;
  const index = isolation.waiting.findIndex((isolated) => isolated.requestId === requestId);
  if (index >= 0) isolation.waiting.splice(index, 1);
  if (isolation.runningId === requestId) {
    isolation.runningId = null;
    isolation.endpointId = null;
  }
  if (isolation.waiting.length === 0 && isolation.runningId === null) state.isolations.delete(pool);
}
