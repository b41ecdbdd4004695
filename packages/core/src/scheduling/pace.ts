import { addToRate, fadeRate } from '../shared/index.js';
import {
  isFresh,
  type EndpointWork,
  type Pace,
  type SchedulingState,
  type ToldPace,
} from './state.js';

/** Ratios beyond these say no more than these do. */
const SLOWEST_RATIO = 6;
const FASTEST_RATIO = 0.4;

/** So many samples of a pace of 1 are taken for granted. */
const PRIOR_SAMPLES = 2;

function bound(ratio: number): number {
  return Math.min(SLOWEST_RATIO, Math.max(FASTEST_RATIO, ratio));
}

/** Takes in how long something took against what was expected. */
export function recordPace(pace: Pace, expectedMs: number, observedMs: number, now: number): void {
  addToRate(pace.ratios, bound(observedMs / expectedMs), now);
  addToRate(pace.samples, 1, now);
}

function ownFirstPace({ pace, waiting }: EndpointWork, now: number): [number, number] {
  let ratios = fadeRate(pace.ratios, now);
  let samples = fadeRate(pace.samples, now);
  for (const { sentAt, predictedMs } of waiting) {
    const ratio = (now - sentAt) / predictedMs;
    if (ratio > 1) {
      ratios += bound(ratio);
      samples += 1;
    }
  }
  return [ratios, samples];
}

/** Returns this VM's sums of ratios; requests that wait too long for an event count already. */
export function ownPace(work: EndpointWork, now: number): ToldPace {
  const { ratios, samples } = work.stepPace;
  return { first: ownFirstPace(work, now), step: [fadeRate(ratios, now), fadeRate(samples, now)] };
}

function meanRatio(
  state: SchedulingState,
  endpointId: string,
  part: keyof ToldPace,
  now: number,
): number {
  const work = state.work.get(endpointId);
  let [ratios, samples] = work === undefined ? [0, 0] : ownPace(work, now)[part];
  for (const peer of state.peers.values()) {
    const told = isFresh(peer, now) ? peer.paces.get(endpointId)?.[part] : undefined;
    ratios += told?.[0] ?? 0;
    samples += told?.[1] ?? 0;
  }
  return (ratios + PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES);
}

/** Returns how much later than predicted first events are lately, as all VMs see it. */
export function paceOf(state: SchedulingState, endpointId: string, now: number): number {
  return meanRatio(state, endpointId, 'first', now);
}

/** Returns how much longer an engine's steps are than its batch explains, as all VMs see it. */
export function stepPaceOf(state: SchedulingState, endpointId: string, now: number): number {
  return meanRatio(state, endpointId, 'step', now);
}
