import { digestText } from '../shared/index.js';
import type { SegmentCrash, SegmentHistory, SegmentSuspectState, SegmentTrial } from './state.js';

/** Crashes since the last answer after which a segment is a suspect. */
const CRASHES_TO_SUSPECT = 2;

/** The same for a segment that was answered shortly before: several endpoints may end at once. */
const CRASHES_TO_SUSPECT_ANSWERED = 4;

/** Time for which an answer speaks for a segment after it; milliseconds. */
const ANSWER_TRUST_MS = 10_000;

/**
 * Time after the first failed trial until the next one, if chance may explain the crashes: several
 * endpoints may end for other reasons.
 */
const FIRST_TRIAL_DELAY_MS = 2000;
const CRASHES_BEYOND_CHANCE = 4;

/** Time until the next trial otherwise; longer by the factor after each further one. */
const TRIAL_DELAY_MS = 30_000;
const TRIAL_DELAY_FACTOR = 6;
const MAX_TRIAL_DELAY_MS = 3_600_000;

/**
 * A segment with this fraction of the requests is tried again soon: to refuse it without need would
 * cost more than an endpoint.
 */
const COMMON_FRACTION = 0.95;
const MIN_REFUSALS_OF_COMMON = 20;

/** Delay after which a caller may come back while another request is on trial. */
const TRIAL_RETRY_AFTER_MS = 300;

/** Largest number of suspects in a description for operators. */
const MAX_DESCRIBED = 64;

/** Whether a request may run with others, only on trial, or not at all. */
export type SegmentVerdict =
  | { readonly kind: 'sound' }
  | {
      readonly kind: 'suspect' | 'refused';
      /** Segment that the verdict is about, or the id of a combination of segments. */
      readonly subject: string;
      /** Suspects among the segments. */
      readonly suspects: readonly string[];
      /** Time until a request with it may run again. */
      readonly retryAfterMs: number;
    };

const SOUND: SegmentVerdict = { kind: 'sound' };

/** Returns the key of `SegmentSuspectState.answeredAt`. */
export function answerKey(serviceId: string, segmentId: string): string {
  return `${serviceId}\n${segmentId}`;
}

/** Returns the time of the latest answer on a segment at a service; -Infinity without one. */
export function latestAnswerAt(
  { answeredAt }: SegmentSuspectState,
  serviceId: string,
  segmentId: string,
): number {
  return answeredAt.get(answerKey(serviceId, segmentId)) ?? Number.NEGATIVE_INFINITY;
}

/** Returns the time of the latest evidence against a segment; epoch milliseconds, 0 without any. */
export function latestEvidenceAt({ crashes, failedAt }: SegmentHistory): number {
  return crashes.reduce((latest, { at }) => Math.max(latest, at), failedAt ?? 0);
}

/** Returns the time at which the next trial may begin; epoch milliseconds, 0 before the first. */
function nextTrialAt(state: SegmentSuspectState, history: SegmentHistory): number {
  const { crashes, failedTrials, failedAt, refusals, classifiedBefore } = history;
  if (failedAt === null) return 0;
  const isCommon =
    refusals >= MIN_REFUSALS_OF_COMMON &&
    refusals >= COMMON_FRACTION * (state.classified - classifiedBefore);
  if (isCommon) return failedAt + FIRST_TRIAL_DELAY_MS;
  const further = failedTrials - 1 + (crashes.length >= CRASHES_BEYOND_CHANCE ? 1 : 0);
  if (further <= 0) return failedAt + FIRST_TRIAL_DELAY_MS;
  const delayMs = TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** (further - 1);
  return failedAt + Math.min(MAX_TRIAL_DELAY_MS, delayMs);
}

function listCrashesSince({ crashes }: SegmentHistory, at: number): SegmentCrash[] {
  return crashes.filter((crash) => crash.at > at);
}

/** Says whether a segment is a suspect at a service. */
function isSuspect(state: SegmentSuspectState, serviceId: string, segmentId: string): boolean {
  const history = state.histories.get(segmentId);
  if (history === undefined) return false;
  const answeredAt = latestAnswerAt(state, serviceId, segmentId);
  if (history.failedAt !== null && history.failedAt > answeredAt) return true;
  const crashes = listCrashesSince(history, answeredAt);
  if (crashes.length < CRASHES_TO_SUSPECT) return false;
  const firstAt = Math.min(...crashes.map(({ at }) => at));
  const isTrusted = firstAt - answeredAt <= ANSWER_TRUST_MS;
  return crashes.length >= (isTrusted ? CRASHES_TO_SUSPECT_ANSWERED : CRASHES_TO_SUSPECT);
}

/** Returns the id under which trials of these suspects count. */
function subjectOf(suspects: readonly string[]): string {
  return suspects.length === 1 ? suspects[0]! : digestText([...suspects].sort().join(','));
}

/** Decides whether a request with these segments may run at a service. */
export function classifySegments(
  state: SegmentSuspectState,
  serviceId: string,
  segmentIds: readonly string[],
  now: number,
): SegmentVerdict {
  // Hot path: almost always nothing is recorded.
  if (state.histories.size === 0 || segmentIds.length === 0) return SOUND;
  const suspects = segmentIds.filter((id) => isSuspect(state, serviceId, id));
  if (suspects.length === 0) return SOUND;
  const subject = subjectOf(suspects);
  for (const id of [...suspects, subject]) {
    const history = state.histories.get(id);
    const waitMs = history === undefined ? 0 : nextTrialAt(state, history) - now;
    if (waitMs > 0) return { kind: 'refused', subject: id, suspects, retryAfterMs: waitMs };
  }
  return { kind: 'suspect', subject, suspects, retryAfterMs: TRIAL_RETRY_AFTER_MS };
}

/** Returns whether all of these segments were answered at a service shortly before. */
export function areAnsweredLately(
  state: SegmentSuspectState,
  serviceId: string,
  segmentIds: readonly string[],
  now: number,
): boolean {
  return segmentIds.every((id) => now - latestAnswerAt(state, serviceId, id) <= ANSWER_TRUST_MS);
}

/** Returns whether anything speaks against any of these segments. */
export function hasSegmentEvidence(
  { histories }: SegmentSuspectState,
  segmentIds: readonly string[],
): boolean {
  return histories.size > 0 && segmentIds.some((id) => histories.has(id));
}

/** Returns whether an endpoint has crashed under one of these segments, sent there at an instant or later. */
export function hasCrashedUnder(
  { histories }: SegmentSuspectState,
  segmentIds: readonly string[],
  endpointId: string,
  sentAt: number,
): boolean {
  const isMeant = (crash: SegmentCrash) =>
    crash.endpointId === endpointId && crash.startedAt >= sentAt;
  return segmentIds.some((id) => histories.get(id)?.crashes.some(isMeant) === true);
}

/** What a VM knows of one segment, for its log. */
export interface SegmentKnowledge {
  readonly segmentId: string;
  /** Crashes since the latest answer, and how many of them this VM saw itself. */
  readonly crashes: number;
  readonly ownCrashes: number;
  /** Time since the latest answer; null without one. */
  readonly answeredAgoMs: number | null;
}

/** Describes what speaks for and against one segment at a service. */
export function describeSegment(
  state: SegmentSuspectState,
  serviceId: string,
  segmentId: string,
  now: number,
): SegmentKnowledge {
  const answeredAt = latestAnswerAt(state, serviceId, segmentId);
  const history = state.histories.get(segmentId);
  const crashes = history === undefined ? [] : listCrashesSince(history, answeredAt);
  return {
    segmentId,
    crashes: crashes.length,
    ownCrashes: crashes.filter(({ source }) => source === 'own').length,
    answeredAgoMs: Number.isFinite(answeredAt) ? Math.round(now - answeredAt) : null,
  };
}

function listSuspects(state: SegmentSuspectState): [string, SegmentHistory][] {
  return [...state.histories].filter(
    ([, { crashes, failedAt }]) => crashes.length >= CRASHES_TO_SUSPECT || failedAt !== null,
  );
}

/** Counts the segments with any evidence, those with enough to doubt them, and those on hold. */
export function countSegments(state: SegmentSuspectState, now: number) {
  const suspects = listSuspects(state);
  return {
    recorded: state.histories.size,
    suspected: suspects.length,
    refused: suspects.filter(([, history]) => nextTrialAt(state, history) > now).length,
  };
}

/** A suspect as operators see it. */
export interface SegmentDescription {
  /** Segment id, or the id of a combination. */
  readonly segmentId: string;
  readonly crashes: readonly {
    readonly endpointId: string;
    readonly serviceId: string;
    readonly source: SegmentCrash['source'];
    readonly ageMs: number;
    /** Time from the crash to the latest answer at that service; 0 without one. */
    readonly answeredAfterMs: number;
  }[];
  readonly failedTrials: number;
  /** Negative when it is due; null before the first trial. */
  readonly nextTrialInMs: number | null;
  readonly trial: SegmentTrial | null;
  /** Requests that this VM refused for it. */
  readonly refusals: number;
}

/** Describes the suspects for operators, those with the latest evidence first. */
export function describeSegments(state: SegmentSuspectState, now: number): SegmentDescription[] {
  const ageMs = (at: number) => Math.round(now - at);
  return listSuspects(state)
    .sort(([, a], [, b]) => latestEvidenceAt(b) - latestEvidenceAt(a))
    .slice(0, MAX_DESCRIBED)
    .map(([segmentId, history]) => ({
      segmentId,
      crashes: history.crashes.map(({ endpointId, serviceId, at, source }) => ({
        endpointId,
        serviceId,
        source,
        ageMs: ageMs(at),
        answeredAfterMs: Math.max(0, Math.round(latestAnswerAt(state, serviceId, segmentId) - at)),
      })),
      failedTrials: history.failedTrials,
      nextTrialInMs: history.failedAt === null ? null : -ageMs(nextTrialAt(state, history)),
      trial: state.trials.get(segmentId) ?? null,
      refusals: history.refusals,
    }));
}
