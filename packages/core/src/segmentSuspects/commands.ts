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

/** Largest difference of the times that VMs report of one crash beside their clocks' rounding. */
const SAME_CRASH_MS = 250;

/** Difference below which a failed trial is the same one, told by another VM. */
const SAME_TRIAL_MS = 500;

type CrashTimes = Pick<SegmentCrash, 'endpointId' | 'startedAt' | 'at'>;

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

function getOrCreateHistory(state: SegmentSuspectState, segmentId: string): SegmentHistory {
  let history = state.histories.get(segmentId);
  if (history === undefined) {
    if (state.histories.size >= MAX_HISTORIES) evictOne(state);
    history = { crashes: [], failedTrials: 0, failedAt: null, failedServiceId: null, refusals: 0 };
    state.histories.set(segmentId, history);
  }
  return history;
}

/** Says whether another segment, whose trial failed, was there at a crash. */
function isExplained(state: SegmentSuspectState, segmentId: string, crash: CrashTimes): boolean {
  for (const id of state.confirmed) {
    const { crashes = [] } = state.histories.get(id) ?? {};
    if (id !== segmentId && crashes.some((known) => isSameCrash(known, crash))) return true;
  }
  return false;
}

/** Removes the crashes that a confirmed segment explains from the segments beside it. */
function explainCrashes(state: SegmentSuspectState, crashes: readonly CrashTimes[]): void {
  state.histories.forEach((history, segmentId) => {
    if (history.failedAt !== null) return;
    const others = history.crashes.filter(
      (crash) => !crashes.some((explained) => isSameCrash(explained, crash)),
    );
    if (others.length === history.crashes.length) return;
    history.crashes.splice(0, history.crashes.length, ...others);
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
  if (isExplained(state, segmentId, report)) return false;
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
  if (state.confirmed.has(segmentId)) explainCrashes(state, [report]);
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
  if (hasPassed) {
    history.failedTrials = 0;
    history.failedAt = null;
    history.failedServiceId = null;
    state.confirmed.delete(segmentId);
  }
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
  /** Failed trials since the last answer. */
  readonly failedTrials: number;
  /** Time of the latest one; epoch milliseconds. */
  readonly at: number;
}

/** Records a failed trial that a peer reports, unless it was answered since. */
export function recordPeerFailedTrial(state: SegmentSuspectState, trial: FailedTrial): void {
  const { subject, serviceId, failedTrials, at } = trial;
  if (at <= latestAnswerAt(state, serviceId, subject)) return;
  const history = getOrCreateHistory(state, subject);
  const isNew = history.failedAt === null || at > history.failedAt + SAME_TRIAL_MS;
  history.failedTrials = Math.max(history.failedTrials, failedTrials);
  if (!isNew) return;
  history.failedAt = at;
  history.failedServiceId = serviceId;
  state.confirmed.add(subject);
  explainCrashes(state, history.crashes);
}

/** Records that an endpoint ended under a trial of this VM. */
export function recordFailedTrial(
  state: SegmentSuspectState,
  subject: string,
  serviceId: string,
  now: number,
): void {
  const { failedTrials } = getOrCreateHistory(state, subject);
  recordPeerFailedTrial(state, { subject, serviceId, failedTrials: failedTrials + 1, at: now });
  state.trials.delete(subject);
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
