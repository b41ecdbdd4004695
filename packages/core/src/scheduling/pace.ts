import { addToRate, decayedSum } from '../shared/index.js';
import {
  isFreshReport,
  type EndpointWork,
  type Pace,
  type SchedulingState,
  type PaceSums,
} from './state.js';

/** Range to which ratios are clamped: a more extreme one says no more about the endpoint. */
const MAX_RATIO = 6;
const MIN_RATIO = 0.4;

/** Weight of a prior ratio of 1, in samples, so that few samples change the prediction little. */
const PRIOR_SAMPLES = 2;

function clampRatio(ratio: number): number {
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
}

/** Adds the ratio of an observed to an expected time, both in milliseconds, to a pace. */
export function recordPace(pace: Pace, expectedMs: number, observedMs: number, now: number): void {
  addToRate(pace.ratios, clampRatio(observedMs / expectedMs), now);
  addToRate(pace.samples, 1, now);
}

function ownFirstEventSums({ pace, waiting }: EndpointWork, now: number): [number, number] {
  let ratios = decayedSum(pace.ratios, now);
  let samples = decayedSum(pace.samples, now);
  for (const { sentAt, predictedMs } of waiting) {
    const ratio = (now - sentAt) / predictedMs;
    if (ratio > 1) {
      ratios += clampRatio(ratio);
      samples += 1;
    }
  }
  return [ratios, samples];
}

/**
 * Returns this VM's sums of ratios and samples for an endpoint. A request that has waited longer
 * than predicted for its first event counts before that event.
 */
export function ownPaceSums(work: EndpointWork, now: number): PaceSums {
  const { ratios, samples } = work.stepPace;
  return {
    first: ownFirstEventSums(work, now),
    step: [decayedSum(ratios, now), decayedSum(samples, now)],
  };
}

function meanPace(
  state: SchedulingState,
  endpointId: string,
  kind: keyof PaceSums,
  now: number,
): number {
  const work = state.work.get(endpointId);
  let [ratios, samples] = work === undefined ? [0, 0] : ownPaceSums(work, now)[kind];
  for (const peer of state.peers.values()) {
    const peerSums = isFreshReport(peer, now) ? peer.paces.get(endpointId)?.[kind] : undefined;
    ratios += peerSums?.[0] ?? 0;
    samples += peerSums?.[1] ?? 0;
  }
  return (ratios + PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES);
}

/** Returns the recent mean ratio of observed to predicted first-event time, over all VMs. */
export function meanFirstEventPace(
  state: SchedulingState,
  endpointId: string,
  now: number,
): number {
  return meanPace(state, endpointId, 'first', now);
}

/** Returns the recent mean ratio of observed to expected step time, over all VMs. */
export function meanStepPace(state: SchedulingState, endpointId: string, now: number): number {
  return meanPace(state, endpointId, 'step', now);
}
