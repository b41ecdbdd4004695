import { hashText } from '../shared/index.js';
import type { SegmentSuspectState, SegmentTrial } from './state.js';

/** How long an announcement holds unless it is repeated. */
const ANNOUNCEMENT_TTL_MS = 1000;

/** Longest time for which a trial runs. */
const MAX_TRIAL_MS = 20_000;

/** How long a trial without an answer holds until its endpoint is found to have ended. */
const LOST_TRIAL_MS = 3000;

/** Most trials in one message to peers. */
export const MAX_REPORTED_TRIALS = 24;

/** Most trials known at a time. */
const MAX_TRIALS = 512;

/** Time in which an announcement reaches the peers that are told directly, with two repetitions. */
const SETTLE_MS = 200;

/** Time for each further hop of the news, and the peers that each VM tells. */
const HOP_MS = 100;
const PEERS_PER_HOP = 16;

/** A trial as VMs announce it to each other. */
export interface TrialAnnouncement extends SegmentTrial {
  readonly segmentId: string;
}

/** Returns the time from the announcement of a trial to its start in a fleet of `vms`. */
export function trialSettleMs(vms: number): number {
  const hops = Math.ceil(Math.log(Math.max(2, vms)) / Math.log(PEERS_PER_HOP + 1));
  return SETTLE_MS + HOP_MS * (hops - 1);
}

const rankOf = (segmentId: string, holder: string) => hashText(`${segmentId}\n${holder}`);

const isOwn = ({ holder }: SegmentTrial, vmId: string) => holder.startsWith(`${vmId}/`);

/** Says whether a trial goes first: one that runs, then one with fewer suspects. */
function goesFirst(segmentId: string, a: SegmentTrial, b: SegmentTrial): boolean {
  if (a.isRunning !== b.isRunning) return a.isRunning;
  if (a.suspects !== b.suspects) return a.suspects < b.suspects;
  return rankOf(segmentId, a.holder) < rankOf(segmentId, b.holder);
}

function findHeld(state: SegmentSuspectState, segmentId: string, now: number): SegmentTrial | null {
  const trial = state.trials.get(segmentId);
  return trial !== undefined && trial.endsAt > now ? trial : null;
}

/**
 * Announces a trial of suspects; false while another one goes first for one of them. It may start
 * once the announcement has had the time to reach the other VMs.
 */
export function announceTrial(
  state: SegmentSuspectState,
  suspects: readonly string[],
  holder: string,
  now: number,
): boolean {
  const endsAt = now + ANNOUNCEMENT_TTL_MS;
  const trial = { holder, isRunning: false, suspects: suspects.length, endsAt };
  const isAhead = (segmentId: string) => {
    const other = findHeld(state, segmentId, now);
    return other !== null && goesFirst(segmentId, other, trial);
  };
  if (suspects.some(isAhead) || state.trials.size + suspects.length > MAX_TRIALS) return false;
  suspects.forEach((segmentId) => state.trials.set(segmentId, trial));
  return true;
}

/** Starts an announced trial; false when another one goes first for one of the suspects. */
export function startTrial(
  state: SegmentSuspectState,
  suspects: readonly string[],
  holder: string,
  now: number,
): boolean {
  const isHeld = suspects.every((id) => findHeld(state, id, now)?.holder === holder);
  if (!isHeld) return false;
  const endsAt = now + MAX_TRIAL_MS;
  const trial = { holder, isRunning: true, suspects: suspects.length, endsAt };
  suspects.forEach((segmentId) => state.trials.set(segmentId, trial));
  return true;
}

/** Ends a trial. */
export function endTrial({ trials }: SegmentSuspectState, holder: string): void {
  trials.forEach((trial, segmentId) => {
    if (trial.holder === holder) trials.delete(segmentId);
  });
}

/** Holds a trial that got no answer until its endpoint has been looked into. */
export function holdLostTrial({ trials }: SegmentSuspectState, holder: string, now: number): void {
  trials.forEach((trial, segmentId) => {
    if (trial.holder !== holder) return;
    trials.set(segmentId, { ...trial, endsAt: now + LOST_TRIAL_MS });
  });
}

/** Records a trial that a peer announces. */
export function recordPeerTrial(
  state: SegmentSuspectState,
  { segmentId, holder, isRunning, suspects, endsAt }: TrialAnnouncement,
  ownVmId: string,
  now: number,
): void {
  const trial = {
    holder,
    isRunning,
    suspects,
    endsAt: Math.min(endsAt, now + ANNOUNCEMENT_TTL_MS),
  };
  if (isOwn(trial, ownVmId) || endsAt <= now) return;
  const known = findHeld(state, segmentId, now);
  if (known === null && state.trials.size >= MAX_TRIALS) return;
  if (known?.holder === holder) {
    // One that was heard to run is not taken back by an announcement that was sent before.
    trial.isRunning ||= known.isRunning;
    trial.endsAt = Math.max(trial.endsAt, known.endsAt);
  } else if (known !== null && goesFirst(segmentId, known, trial)) return;
  state.trials.set(segmentId, trial);
}

/** Takes the trials to announce in the next message to peers, those of this VM first. */
export function takeTrialAnnouncements(
  state: SegmentSuspectState,
  ownVmId: string,
  now: number,
): TrialAnnouncement[] {
  const held = [...state.trials].filter(([, { endsAt }]) => endsAt > now);
  const own = held.filter(([, trial]) => isOwn(trial, ownVmId));
  const others = held.filter(([, trial]) => !isOwn(trial, ownVmId));
  return [...own, ...others].slice(0, MAX_REPORTED_TRIALS).map(([segmentId, trial]) => ({
    segmentId,
    ...trial,
    endsAt: Math.min(trial.endsAt, now + ANNOUNCEMENT_TTL_MS),
  }));
}

/** Removes trials that have ended or that nobody announces any more. */
export function removeExpiredTrials({ trials }: SegmentSuspectState, now: number): void {
  trials.forEach(({ endsAt }, segmentId) => {
    if (endsAt <= now) trials.delete(segmentId);
  });
}
