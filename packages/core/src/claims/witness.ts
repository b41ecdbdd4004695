import type { Abstention, ClaimCall, ClaimReply, Holder, ReleaseCall } from '../types/index.js';
import { hasJoined, holdMs, issuedAfter, listLists } from './queries.js';
import type { ClaimState, Grant } from './state.js';

function findGrant(state: ClaimState, key: string, now: number): Grant | undefined {
  const grant = state.grants.get(key);
  if (grant === undefined || now - grant.grantedAt < holdMs(state)) return grant;
  state.grants.delete(key);
  return undefined;
}

function findAbstention(state: ClaimState, call: ClaimCall, now: number): Abstention | null {
  const { windowMs, skewMs } = state.settings;
  const has = (rule: Parameters<typeof state.enforced.has>[0]) => state.enforced.has(rule);
  if (state.isLeaving) return 'leaving';
  // A witness beyond a list no longer grants under it: later lists rely on that.
  if (has('newer-list') && call.listRevision < (state.list?.revision ?? -1)) return 'newer-list';
  if (!hasJoined(state, now)) return 'starting';
  const before = issuedAfter(state, call.issuedAt, now);
  if (has('started-later') && state.startedAt >= before) return 'started-later';
  if (call.issuedAt === null || !has('key-age')) return null;
  // Outside these bounds a grant for the key may have been forgotten.
  const isOld = now > call.issuedAt + windowMs - skewMs;
  return isOld || call.issuedAt > now + skewMs ? 'key-expired' : null;
}

function holderOf(source: Holder): Holder {
  const { attemptId, claimant, endpointId, streamId, fingerprint } = source;
  return { attemptId, claimant, endpointId, streamId, fingerprint };
}

/** Answers a claim as a witness: grants the key, names its holder, or abstains. */
export function answerClaim(state: ClaimState, call: ClaimCall, now: number): ClaimReply {
  const abstention = findAbstention(state, call, now);
  if (abstention !== null) {
    const lists = abstention === 'newer-list' ? listLists(state) : [];
    return { kind: 'abstained', reason: abstention, lists };
  }
  const held = findGrant(state, call.key, now);
  if (held !== undefined && held.attemptId !== call.attemptId && state.enforced.has('one-grant')) {
    return { kind: 'held', holder: holderOf(held) };
  }
  const grantedAt = held?.grantedAt ?? now;
  state.grants.set(call.key, { ...holderOf(call), grantedAt });
  return { kind: 'granted' };
}

/** Takes back a grant that was never dispatched; true when there was one. */
export function releaseGrant(state: ClaimState, { key, attemptId }: ReleaseCall): boolean {
  if (state.grants.get(key)?.attemptId !== attemptId) return false;
  return state.grants.delete(key);
}

function forgetOld<T>(
  entries: Map<string, T>,
  instantOf: (entry: T) => number,
  before: number,
): void {
  for (const [key, entry] of entries) {
    // Entries stand in the order of their instants.
    if (instantOf(entry) > before) return;
    entries.delete(key);
  }
}

/** Forgets the grants and claims whose window is over. */
export function forgetClaims(state: ClaimState, now: number): void {
  const before = now - holdMs(state);
  forgetOld(state.grants, ({ grantedAt }) => grantedAt, before);
  forgetOld(state.won, (at) => at, before);
}
