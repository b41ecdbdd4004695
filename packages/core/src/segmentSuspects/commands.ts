import { answerKey, latestAnswerAt, latestEvidenceAt } from './queries.js';
import type {
  SegmentAnswer,
  SegmentCrash,
  SegmentCrashReport,
  SegmentHistory,
  SegmentSuspectState,
  UnsentNews,
} from './state.js';

/** Most segments and combinations with evidence. */
const MAX_HISTORIES = 2000;

/** Most crashes kept of one segment. */
const MAX_CRASHES_PER_SEGMENT = 16;

/** Most segments whose answers are kept. */
const MAX_ANSWERS = 4096;

/** Most segments recorded of one request, the first ones. */
const MAX_SEGMENTS_PER_REQUEST = 64;

/** Number of messages to peers that contain each piece of news: a message may be lost. */
const SENDS_PER_NEWS = 3;

/** Most pieces of news that wait to be sent; the oldest are dropped. */
const MAX_UNSENT = 512;

/** How long crashes count against a segment without a failed trial. */
const EVIDENCE_TTL_MS = 600_000;

/** How long a failed trial is remembered, so that the next one comes no sooner than due. */
const FAILED_TRIAL_TTL_MS = 86_400_000;

/** Largest difference between the times that VMs report of one crash. */
const SAME_CRASH_MS = 250;

/** Difference below which a failed trial is the same one, told by another VM. */
const SAME_TRIAL_MS = 500;

/** Time from a crash until a trial that it ended is found to have failed, at the most. */
const TRIAL_CRASH_MS = 4000;

const NO_FAILED_TRIAL = {
  failedTrials: 0,
  failedAt: null,
  failedServiceId: null,
  failedEndpointId: null,
} as const;

/** When and where an endpoint crashed. */
export type CrashTimes = Pick<SegmentCrash, 'endpointId' | 'startedAt' | 'at'>;

function isSameCrash(known: CrashTimes, { endpointId, startedAt, at }: CrashTimes): boolean {
  if (known.endpointId !== endpointId) return false;
  const isOverlapping = startedAt < known.at && known.startedAt < at;
  return isOverlapping || Math.abs(known.at - at) <= SAME_CRASH_MS;
}

function queueNews<T>(queue: UnsentNews<T>[], news: T): void {
  queue.push({ news, sendsLeft: SENDS_PER_NEWS });
  if (queue.length > MAX_UNSENT) queue.shift();
}

function removeHistory(state: SegmentSuspectState, segmentId: string): void {
  state.histories.delete(segmentId);
  state.confirmed.delete(segmentId);
}

// Histories with one crash go first, then those without a failed trial, the oldest of each.
function evictOne(state: SegmentSuspectState): void {
  let unconfirmed: string | null = null;
  let evicted: string | null = null;
  for (const [segmentId, { crashes, failedAt }] of state.histories) {
    if (failedAt === null && crashes.length === 1) {
      evicted = segmentId;
      break;
    }
    if (failedAt === null) unconfirmed ??= segmentId;
  }
  evicted ??= unconfirmed ?? state.histories.keys().next().value ?? null;
  if (evicted !== null) removeHistory(state, evicted);
}

function createHistory(): SegmentHistory {
  return { crashes: [], refusals: 0, classifiedBefore: 0, ...NO_FAILED_TRIAL };
}

function getOrCreateHistory(state: SegmentSuspectState, segmentId: string): SegmentHistory {
  let history = state.histories.get(segmentId);
  if (history === undefined) {
    if (state.histories.size >= MAX_HISTORIES) evictOne(state);
    history = createHistory();
    state.histories.set(segmentId, history);
  }
  return history;
}

/**
 * Says whether a segment whose trial failed was there at a crash, if it has more crashes than the
 * `crashes` of the segment in question.
 */
export function isExplainedCrash(
  { confirmed, histories }: SegmentSuspectState,
  crash: CrashTimes,
  crashes = 0,
): boolean {
  for (const segmentId of confirmed) {
    const known = histories.get(segmentId)?.crashes ?? [];
    if (known.length > crashes && known.some((other) => isSameCrash(other, crash))) return true;
  }
  return false;
}

function forgetFailedTrial(state: SegmentSuspectState, segmentId: string): void {
  const history = state.histories.get(segmentId);
  if (history !== undefined) Object.assign(history, NO_FAILED_TRIAL);
  state.confirmed.delete(segmentId);
}

/** Says whether a trial failed with a crash of a segment that has more crashes. */
function isTrialExplainedBy(
  { crashes, failedAt, failedEndpointId }: SegmentHistory,
  cause: SegmentHistory,
): boolean {
  if (failedAt === null || crashes.length >= cause.crashes.length) return false;
  return cause.crashes.some(
    ({ endpointId, at }) =>
      endpointId === failedEndpointId && Math.abs(failedAt - at) <= TRIAL_CRASH_MS,
  );
}

/** Removes what a segment whose trial failed explains from those beside it with fewer crashes. */
function explainCrashes(state: SegmentSuspectState, causeId: string): void {
  const cause = state.histories.get(causeId);
  if (cause === undefined || cause.crashes.length === 0) return;
  state.histories.forEach((history, segmentId) => {
    if (history === cause) return;
    if (isTrialExplainedBy(history, cause)) forgetFailedTrial(state, segmentId);
    const { crashes } = history;
    if (history.failedAt !== null || crashes.length >= cause.crashes.length) return;
    const others = crashes.filter(
      (crash) => !cause.crashes.some((explained) => isSameCrash(explained, crash)),
    );
    crashes.splice(0, crashes.length, ...others);
    if (others.length === 0) removeHistory(state, segmentId);
  });
}

/** Records a crash under a segment; returns false when it was known, answered or explained. */
function addCrash(
  state: SegmentSuspectState,
  report: SegmentCrashReport,
  source: SegmentCrash['source'],
): boolean {
  const { segmentId, endpointId, serviceId, startedAt, at } = report;
  if (at <= latestAnswerAt(state, serviceId, segmentId)) return false;
  const knownCrashes = state.histories.get(segmentId)?.crashes.length ?? 0;
  if (isExplainedCrash(state, report, knownCrashes)) return false;
  const history = getOrCreateHistory(state, segmentId);
  const known = history.crashes.find((crash) => isSameCrash(crash, report));
  if (known !== undefined) {
    known.at = Math.min(known.at, at);
    if (source === 'own') {
      known.startedAt = Math.max(known.startedAt, startedAt);
      known.source = source;
    }
    return false;
  }
  if (history.crashes.length === MAX_CRASHES_PER_SEGMENT) history.crashes.shift();
  history.crashes.push({ endpointId, serviceId, startedAt, at, source });
  if (state.confirmed.has(segmentId)) explainCrashes(state, segmentId);
  queueNews(state.unsentCrashes, report);
  return true;
}

/** Records the crash of an endpoint against the segments of a request that it had not answered. */
export function recordSegmentCrash(
  state: SegmentSuspectState,
  segmentIds: readonly string[],
  crash: Omit<SegmentCrashReport, 'segmentId'>,
): void {
  segmentIds.slice(0, MAX_SEGMENTS_PER_REQUEST).forEach((segmentId) => {
    addCrash(state, { segmentId, ...crash }, 'own');
  });
}

/** Records the crashes that a peer reports; those that are too old are ignored. */
export function recordPeerSegmentCrashes(
  state: SegmentSuspectState,
  crashes: readonly SegmentCrashReport[],
  now: number,
): void {
  for (const crash of crashes) {
    if (crash.at >= now - FAILED_TRIAL_TTL_MS) addCrash(state, crash, 'peer');
  }
}

function setAnsweredAt(
  { answeredAt }: SegmentSuspectState,
  { serviceId, segmentId, at }: SegmentAnswer,
): void {
  const key = answerKey(serviceId, segmentId);
  const latest = Math.max(at, answeredAt.get(key) ?? at);
  answeredAt.delete(key);
  answeredAt.set(key, latest);
  if (answeredAt.size > MAX_ANSWERS) answeredAt.delete(answeredAt.keys().next().value!);
}

/** Removes what an answer refutes; returns whether there was anything. */
function removeRefuted(
  state: SegmentSuspectState,
  { segmentId, serviceId, at }: SegmentAnswer,
): boolean {
  const history = state.histories.get(segmentId);
  if (history === undefined) return false;
  const { crashes, failedAt, failedServiceId } = history;
  const left = crashes.filter((crash) => crash.serviceId !== serviceId || crash.at > at);
  const hasPassed = failedAt !== null && failedAt <= at && failedServiceId === serviceId;
  if (hasPassed) forgetFailedTrial(state, segmentId);
  const hasRefuted = hasPassed || left.length < crashes.length;
  crashes.splice(0, crashes.length, ...left);
  if (left.length === 0 && history.failedAt === null) removeHistory(state, segmentId);
  return hasRefuted;
}

function recordAnswer(state: SegmentSuspectState, answer: SegmentAnswer): void {
  const isTold = removeRefuted(state, answer);
  setAnsweredAt(state, answer);
  if (isTold) queueNews(state.unsentAnswers, answer);
}

/** Records an answer on segments that began at an endpoint that lived on: they are sound. */
export function recordSegmentAnswer(
  state: SegmentSuspectState,
  serviceId: string,
  segmentIds: readonly string[],
  now: number,
): void {
  segmentIds.slice(0, MAX_SEGMENTS_PER_REQUEST).forEach((segmentId) => {
    recordAnswer(state, { segmentId, serviceId, at: now });
  });
}

/** Records the answers that a peer reports. */
export function recordPeerSegmentAnswers(
  state: SegmentSuspectState,
  answers: readonly SegmentAnswer[],
): void {
  answers.forEach((answer) => recordAnswer(state, answer));
}

/** A trial under which an endpoint ended, as VMs report it to each other. */
export interface FailedTrial {
  /** Segment id, or the id of a combination. */
  readonly subject: string;
  readonly serviceId: string;
  readonly endpointId: string;
  /** Failed trials since the last answer. */
  readonly failedTrials: number;
  /** Time of the latest one; epoch milliseconds. */
  readonly at: number;
}

/** Records a failed trial that a peer reports, unless it was answered or explained since. */
export function recordPeerFailedTrial(state: SegmentSuspectState, trial: FailedTrial): void {
  const { subject, serviceId, endpointId, failedTrials, at } = trial;
  if (at <= latestAnswerAt(state, serviceId, subject)) return;
  const history = getOrCreateHistory(state, subject);
  const isNew = history.failedAt === null || at > history.failedAt + SAME_TRIAL_MS;
  history.failedTrials = Math.max(history.failedTrials, failedTrials);
  if (!isNew) return;
  history.failedAt = at;
  history.failedServiceId = serviceId;
  history.failedEndpointId = endpointId;
  history.refusals = 0;
  history.classifiedBefore = state.classified;
  state.confirmed.add(subject);
  const isExplained = [...state.confirmed].some((id) => {
    const cause = state.histories.get(id);
    return id !== subject && cause !== undefined && isTrialExplainedBy(history, cause);
  });
  if (isExplained) forgetFailedTrial(state, subject);
  else explainCrashes(state, subject);
}

/** Records that an endpoint ended under a trial of this VM. */
export function recordFailedTrial(
  state: SegmentSuspectState,
  trial: Omit<FailedTrial, 'failedTrials'>,
): void {
  const { failedTrials } = getOrCreateHistory(state, trial.subject);
  recordPeerFailedTrial(state, { ...trial, failedTrials: failedTrials + 1 });
}

/** Counts a request that is classified while anything is recorded. */
export function countClassified(state: SegmentSuspectState): void {
  if (state.histories.size > 0) state.classified += 1;
}

/** Counts a request that is refused for a suspect. */
export function countSegmentRefusal(state: SegmentSuspectState, subject: string): void {
  const history = state.histories.get(subject);
  if (history !== undefined) history.refusals += 1;
}

/** Removes evidence that is too old to count. */
export function removeExpiredSegments(state: SegmentSuspectState, now: number): void {
  state.histories.forEach((history, segmentId) => {
    const ttlMs = history.failedAt === null ? EVIDENCE_TTL_MS : FAILED_TRIAL_TTL_MS;
    if (latestEvidenceAt(history) < now - ttlMs) removeHistory(state, segmentId);
  });
}
