import { hashText } from '../shared/index.js';
import type { SegmentSuspectState, SegmentTrial } from './state.js';

/** How long an announcement holds unless it is repeated. */
const ANNOUNCEMENT_TTL_MS = 1000;

/** Longest time for which a trial runs. */
const MAX_TRIAL_MS = 20_000;

/** How long a trial without an answer holds until its endpoint is found to have ended. */
const LOST_TRIAL_MS = 3000;

/** Most trials in one message to peers. */
export const MAX_REPORTED_TRIALS = 16;

/** Most trials known at a time. */
const MAX_TRIALS = 512;

/** Time in which an announcement reaches the peers that are told directly, with two repetitions. */
const SETTLE_MS = 200;

/** Time for each further hop of the news, and the peers that each VM tells. */
const HOP_MS = 100;
const PEERS_PER_HOP = 16;

/** A trial as VMs announce it to each other. */
export interface TrialAnnouncement extends SegmentTrial {
  /** Segment id, or the id of a combination. */
  readonly subject: string;
}

/** Returns the time from the announcement of a trial to its start in a fleet of `vms`. */
export function trialSettleMs(vms: number): number {
  const hops = Math.ceil(Math.log(Math.max(2, vms)) / Math.log(PEERS_PER_HOP + 1));
  return SETTLE_MS + HOP_MS * (hops - 1);
}

const rankOf = (subject: string, vmId: string) => hashText(`${subject}\n${vmId}`);

/** Says whether a trial goes first: one that runs, then the one of the VM with the lowest rank. */
function goesFirst(subject: string, a: SegmentTrial, b: SegmentTrial): boolean {
  if (a.isRunning !== b.isRunning) return a.isRunning;
  return rankOf(subject, a.vmId) < rankOf(subject, b.vmId);
}

function findHeld(state: SegmentSuspectState, subject: string, now: number): SegmentTrial | null {
  const trial = state.trials.get(subject);
  return trial !== undefined && trial.endsAt > now ? trial : null;
}

/**
 * Announces a trial of this VM; false while another one goes first. It may start once the
 * announcement has had the time to reach the other VMs.
 */
export function announceTrial(
  state: SegmentSuspectState,
  subject: string,
  vmId: string,
  now: number,
): boolean {
  const other = findHeld(state, subject, now);
  const own = { vmId, isRunning: false, endsAt: now + ANNOUNCEMENT_TTL_MS };
  if (other !== null && (other.vmId === vmId || goesFirst(subject, other, own))) return false;
  if (state.trials.size >= MAX_TRIALS && !state.trials.has(subject)) return false;
  state.trials.set(subject, own);
  return true;
}

/** Starts an announced trial; false when another VM's goes first or one runs already. */
export function startTrial(
  state: SegmentSuspectState,
  subject: string,
  vmId: string,
  now: number,
): boolean {
  const trial = findHeld(state, subject, now);
  if (trial?.vmId !== vmId || trial.isRunning) return false;
  state.trials.set(subject, { vmId, isRunning: true, endsAt: now + MAX_TRIAL_MS });
  return true;
}

/** Ends a trial of this VM. */
export function endTrial(state: SegmentSuspectState, subject: string, vmId: string): void {
  if (state.trials.get(subject)?.vmId === vmId) state.trials.delete(subject);
}

/** Holds a trial of this VM that got no answer until its endpoint has been looked into. */
export function holdLostTrial(
  state: SegmentSuspectState,
  subject: string,
  vmId: string,
  now: number,
): void {
  if (state.trials.get(subject)?.vmId !== vmId) return;
  state.trials.set(subject, { vmId, isRunning: true, endsAt: now + LOST_TRIAL_MS });
}

/** Records a trial that a peer announces. */
export function recordPeerTrial(
  state: SegmentSuspectState,
  { subject, vmId, isRunning, endsAt }: TrialAnnouncement,
  ownVmId: string,
  now: number,
): void {
  if (vmId === ownVmId || endsAt <= now) return;
  const trial = { vmId, isRunning, endsAt: Math.min(endsAt, now + ANNOUNCEMENT_TTL_MS) };
  const known = findHeld(state, subject, now);
  if (known === null && state.trials.size >= MAX_TRIALS) return;
  if (known?.vmId === vmId) {
    // One that was heard to run is not taken back by an announcement that was sent before.
    trial.isRunning ||= known.isRunning;
    trial.endsAt = Math.max(trial.endsAt, known.endsAt);
  } else if (known !== null && goesFirst(subject, known, trial)) return;
  state.trials.set(subject, trial);
}

/** Takes the trials to announce in the next message to peers, those of this VM first. */
export function takeTrialAnnouncements(
  state: SegmentSuspectState,
  ownVmId: string,
  now: number,
): TrialAnnouncement[] {
  const held = [...state.trials].filter(([, { endsAt }]) => endsAt > now);
  const own = held.filter(([, { vmId }]) => vmId === ownVmId);
  const others = held.filter(([, { vmId }]) => vmId !== ownVmId);
  return [...own, ...others].slice(0, MAX_REPORTED_TRIALS).map(([subject, trial]) => ({
    subject,
    ...trial,
    endsAt: Math.min(trial.endsAt, now + ANNOUNCEMENT_TTL_MS),
  }));
}

/** Removes trials that have ended or that nobody announces any more. */
export function removeExpiredTrials({ trials }: SegmentSuspectState, now: number): void {
  trials.forEach(({ endsAt }, subject) => {
    if (endsAt <= now) trials.delete(subject);
  });
}
