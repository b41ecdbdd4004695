import { addToRate, fadeRate } from '../shared/index.js';
import { isFresh, type EndpointWork, type SchedulingState } from './state.js';

/** Ratios beyond these say no more than these do. */
const SLOWEST_RATIO = 6;
const FASTEST_RATIO = 0.4;

/** So many samples of a pace of 1 are taken for granted. */
const PRIOR_SAMPLES = 2;

function bound(ratio: number): number {
  return Math.min(SLOWEST_RATIO, Math.max(FASTEST_RATIO, ratio));
}

/** Takes in how long a first event took against what was predicted. */
export function recordPace(
  { pace }: EndpointWork,
  predictedMs: number,
  observedMs: number,
  now: number,
): void {
  addToRate(pace.ratios, bound(observedMs / predictedMs), now);
  addToRate(pace.samples, 1, now);
}

/** Returns this VM's sum of ratios and their number; those that wait too long count already. */
export function ownPace({ pace, waiting }: EndpointWork, now: number): [number, number] {
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

/** Returns how much slower than predicted an endpoint is lately, as all VMs see it. */
export function paceOf(state: SchedulingState, endpointId: string, now: number): number {
  const work = state.work.get(endpointId);
  let [ratios, samples] = work === undefined ? [0, 0] : ownPace(work, now);
  for (const peer of state.peers.values()) {
    const told = isFresh(peer, now) ? peer.paces.get(endpointId) : undefined;
    ratios += told?.[0] ?? 0;
    samples += told?.[1] ?? 0;
  }
  return (ratios + PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES);
}
