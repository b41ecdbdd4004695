import type { FailedTrial } from './commands.js';
import type {
  SegmentAnswer,
  SegmentCrashReport,
  SegmentSuspectState,
  UnsentNews,
} from './state.js';

/** Most crashes under segments in one message to peers. */
export const MAX_SEGMENT_CRASHES = 48;

/** Most of these that are repeated because their segments are suspects. */
const MAX_SUSPECT_CRASHES = 24;

/** Most answers in one message to peers. */
export const MAX_SEGMENT_ANSWERS = 32;

/** Most failed trials in one message to peers. */
export const MAX_FAILED_TRIALS = 32;

function takeUnsent<T>(queue: UnsentNews<T>[], most: number): T[] {
  const taken = queue.slice(0, most);
  taken.forEach((entry) => {
    entry.sendsLeft -= 1;
  });
  const left = queue.filter(({ sendsLeft }) => sendsLeft > 0);
  queue.splice(0, queue.length, ...left);
  return taken.map(({ news }) => news);
}

/** Moves the reported entries behind the others, so that each gets its turn. */
function rotate<T>(entries: Map<string, T>, reported: readonly string[]): void {
  reported.forEach((id) => {
    const entry = entries.get(id)!;
    entries.delete(id);
    entries.set(id, entry);
  });
}

function takeSuspectCrashes({ histories }: SegmentSuspectState): SegmentCrashReport[] {
  const reports: SegmentCrashReport[] = [];
  const taken: string[] = [];
  for (const [segmentId, { crashes }] of histories) {
    if (crashes.length < 2) continue;
    if (reports.length + crashes.length > MAX_SUSPECT_CRASHES) break;
    crashes.forEach(({ endpointId, serviceId, startedAt, at }) => {
      reports.push({ segmentId, endpointId, serviceId, startedAt, at });
    });
    taken.push(segmentId);
  }
  rotate(histories, taken);
  return reports;
}

/**
 * Takes the crashes to report in the next message: those of suspects in turn, for VMs that missed
 * them or started anew, then news.
 */
export function takeSegmentCrashes(state: SegmentSuspectState): SegmentCrashReport[] {
  const ofSuspects = takeSuspectCrashes(state);
  const news = takeUnsent(state.unsentCrashes, MAX_SEGMENT_CRASHES - ofSuspects.length);
  return [...ofSuspects, ...news];
}

/** Takes the answers to report in the next message: those that refuted something. */
export function takeSegmentAnswers(state: SegmentSuspectState): SegmentAnswer[] {
  return takeUnsent(state.unsentAnswers, MAX_SEGMENT_ANSWERS);
}

/** Takes the failed trials to report in the next message, in turn. */
export function takeFailedTrials({ histories, confirmed }: SegmentSuspectState): FailedTrial[] {
  const subjects = [...confirmed].slice(0, MAX_FAILED_TRIALS);
  subjects.forEach((subject) => {
    confirmed.delete(subject);
    confirmed.add(subject);
  });
  return subjects.flatMap((subject) => {
    const { failedTrials, failedAt, failedServiceId, failedEndpointId } = histories.get(subject)!;
    if (failedAt === null || failedServiceId === null || failedEndpointId === null) return [];
    const where = { serviceId: failedServiceId, endpointId: failedEndpointId };
    return [{ subject, ...where, failedTrials, at: failedAt }];
  });
}
