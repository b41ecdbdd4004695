import type { PoolId } from '../types/index.js';
import type { Crash, SuspectState } from './state.js';

/** Evidence counts this long after a crash, in milliseconds. */
export const FADE_MS = 600_000;

/** So many crashes make a request suspect: it runs alone. */
const CRASHES_TO_SUSPECT = 2;

/** Crashes of so many endpoints end it, as one does under which it was alone. */
const ENDPOINTS_TO_REFUSE = 3;

/** Most crashes told in one heartbeat. */
const MOST_NEWS = 16;

/** One crash of an endpoint with a request in flight. */
export interface CrashNews {
  readonly fingerprint: string;
  readonly endpointId: string;
  /** Epoch milliseconds. */
  readonly at: number;
  /** Instant at which the request had been sent there; epoch milliseconds. */
  readonly startedAt: number;
  /** True when it ran there alone. */
  readonly isAlone: boolean;
}

function listRecent(state: SuspectState, fingerprint: string, now: number): Crash[] {
  const crashes = state.evidence.get(fingerprint)?.crashes.values() ?? [];
  return [...crashes].filter(({ at }) => at >= now - FADE_MS);
}

/** Says whether anything is held against any request; without, no fingerprint is needed. */
export function hasEvidence({ evidence }: SuspectState): boolean {
  return evidence.size > 0;
}

/** Says how a request may run: with others, alone, or not at all. */
export function judgeRequest(
  state: SuspectState,
  fingerprint: string,
  now: number,
): 'innocent' | 'suspect' | 'refused' {
  if (!hasEvidence(state)) return 'innocent';
  const crashes = listRecent(state, fingerprint, now);
  const times = crashes.reduce((sum, crash) => sum + crash.times, 0);
  if (times < CRASHES_TO_SUSPECT) return 'innocent';
  const isProved = crashes.length >= ENDPOINTS_TO_REFUSE || crashes.some((c) => c.isAlone);
  return isProved ? 'refused' : 'suspect';
}

/** Says whether an endpoint crashed with a request in flight. */
export function hasCrashed(state: SuspectState, fingerprint: string, endpointId: string): boolean {
  return state.evidence.get(fingerprint)?.crashes.has(endpointId) ?? false;
}

/** Lists the latest crashes for a heartbeat, bounded in number. */
export function listCrashes(state: SuspectState, now: number): CrashNews[] {
  const news: CrashNews[] = [];
  for (const [fingerprint, { crashes }] of [...state.evidence].reverse()) {
    for (const [endpointId, { at, startedAt, isAlone }] of crashes) {
      if (at >= now - FADE_MS) news.push({ fingerprint, endpointId, at, startedAt, isAlone });
      if (news.length === MOST_NEWS) return news;
    }
  }
  return news;
}

/** Says whether an endpoint is kept free for a suspect. */
export function isKeptFree(state: SuspectState, pool: PoolId, endpointId: string): boolean {
  return state.isolations.get(pool)?.endpointId === endpointId;
}
