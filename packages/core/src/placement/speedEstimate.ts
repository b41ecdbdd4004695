/** Moving averages of how fast attempts run at an endpoint or in a pool. */
export interface SpeedEstimate {
  /** Slot time of one token of cost, in milliseconds; null before the first attempt. */
  msPerToken: number | null;
  /** Time from dispatch to the first token, in milliseconds; null before the first. */
  firstTokenMs: number | null;
  /** Lowest recent time to a first token, in milliseconds, taken as that of an idle endpoint. */
  idleFirstTokenMs: number | null;
  /** Duration of a whole attempt, in milliseconds; null before the first. */
  attemptMs: number | null;
}

/** Weight of the newest sample in a moving average. */
const SAMPLE_WEIGHT = 0.1;

/** Growth of the idle first-token time per sample, so that it follows when attempts get slower. */
const IDLE_GROWTH_FACTOR = 1.01;

/** Creates the estimate of an endpoint or pool without attempts. */
export function createSpeedEstimate(): SpeedEstimate {
  return { msPerToken: null, firstTokenMs: null, idleFirstTokenMs: null, attemptMs: null };
}

function updateMean(mean: number | null, sample: number): number {
  return mean === null ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
}

/** Records the duration of an attempt in milliseconds and its cost in tokens. */
export function recordDuration(speed: SpeedEstimate, durationMs: number, cost: number): void {
  speed.attemptMs = updateMean(speed.attemptMs, durationMs);
  speed.msPerToken = updateMean(speed.msPerToken, durationMs / Math.max(1, cost));
}

/** Records the time from dispatch to a first token, in milliseconds. */
export function recordFirstToken(speed: SpeedEstimate, elapsedMs: number): void {
  speed.firstTokenMs = updateMean(speed.firstTokenMs, elapsedMs);
  const lowest = speed.idleFirstTokenMs;
  speed.idleFirstTokenMs =
    lowest === null ? elapsedMs : Math.min(lowest * IDLE_GROWTH_FACTOR, elapsedMs);
}
