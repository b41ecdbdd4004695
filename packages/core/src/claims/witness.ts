import type { Abstention, ClaimCall, ClaimReply, KeyHolder, ReleaseCall } from '../types/index.js';
import { hasJoined, grantRetentionMs, earliestIssueTime, listClaimLists } from './queries.js';
import type { ClaimState, Grant } from './state.js';

function findGrant(state: ClaimState, key: string, now: number): Grant | undefined {
  const grant = state.grants.get(key);
  if (grant === undefined || now - grant.grantedAt < grantRetentionMs(state)) return grant;
  state.grants.delete(key);
  return undefined;
}

function findAbstention(state: ClaimState, call: ClaimCall, now: number): Abstention | null {
  const { windowMs, skewMs } = state.settings;
  const has = (rule: Parameters<typeof state.enforcedRules.has>[0]) =>
    state.enforcedRules.has(rule);
  if (state.isLeaving) return 'leaving';
  // Claims under a later list rely on witnesses never granting under an earlier one again.
  if (has('newer-list') && call.listRevision < (state.list?.revision ?? -1)) return 'newer-list';
  if (!hasJoined(state, now)) return 'starting';
  const earliestIssuedAt = earliestIssueTime(state, call.issuedAt, now);
  if (has('started-later') && state.startedAt >= earliestIssuedAt) return 'started-later';
  if (call.issuedAt === null || !has('key-age')) return null;
  // An earlier grant for a key issued outside these bounds may already have been removed.
  const isKeyTooOld = now > call.issuedAt + windowMs - skewMs;
  return isKeyTooOld || call.issuedAt > now + skewMs ? 'key-expired' : null;
}

function pickHolder(source: KeyHolder): KeyHolder {
  const { attemptId, claimant, endpointId, streamId, fingerprint } = source;
  return { attemptId, claimant, endpointId, streamId, fingerprint };
}

/** Answers a claim as a witness: grants the key, names its holder or abstains. */
export function answerClaim(state: ClaimState, call: ClaimCall, now: number): ClaimReply {
  const abstention = findAbstention(state, call, now);
  if (abstention !== null) {
    const lists = abstention === 'newer-list' ? listClaimLists(state) : [];
    return { kind: 'abstained', reason: abstention, lists };
  }
  const held = findGrant(state, call.key, now);
  if (
    held !== undefined &&
    held.attemptId !== call.attemptId &&
    state.enforcedRules.has('one-grant')
  ) {
    return { kind: 'held', holder: pickHolder(held) };
  }
  const grantedAt = held?.grantedAt ?? now;
  state.grants.set(call.key, { ...pickHolder(call), grantedAt });
  return { kind: 'granted' };
}

/** Removes the grant of an attempt that was never dispatched; true when there was one. */
export function releaseGrant(state: ClaimState, { key, attemptId }: ReleaseCall): boolean {
  if (state.grants.get(key)?.attemptId !== attemptId) return false;
  return state.grants.delete(key);
}

function removeOlder<T>(
  entries: Map<string, T>,
  instantOf: (entry: T) => number,
  before: number,
): void {
  for (const [key, entry] of entries) {
    // Entries are in the order of their instants.
    if (instantOf(entry) > before) return;
    entries.delete(key);
  }
}

/** Removes grants, and records of won claims, older than the grant retention time. */
export function removeExpiredGrants(state: ClaimState, now: number): void {
  const before = now - grantRetentionMs(state);
  removeOlder(state.grants, ({ grantedAt }) => grantedAt, before);
  removeOlder(state.wonAtByAttempt, (at) => at, before);
}
