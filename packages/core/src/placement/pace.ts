/** How fast attempts run lately. */
export interface Pace {
  /** Slot time of one token of cost, in milliseconds; null before the first attempt. */
  msPerToken: number | null;
  /** Time from dispatch to the first token, in milliseconds; null before the first. */
  firstTokenMs: number | null;
  /** Least time to a first token lately, in milliseconds: what an idle endpoint takes. */
  idleFirstTokenMs: number | null;
  /** Time of a whole attempt, in milliseconds; null before the first. */
  attemptMs: number | null;
}

/** Part of the estimate that each new sample replaces. */
const GAIN = 0.1;

/** The least is forgotten slowly, so that a slower endpoint is not held to an old best. */
const IDLE_RISE = 1.01;

/** Creates the pace of an endpoint or a pool that was not used yet. */
export function createPace(): Pace {
  return { msPerToken: null, firstTokenMs: null, idleFirstTokenMs: null, attemptMs: null };
}

function blend(old: number | null, sample: number): number {
  return old === null ? sample : old + GAIN * (sample - old);
}

/** Learns from an attempt that took so long for so many tokens of cost. */
export function observeDuration(pace: Pace, durationMs: number, cost: number): void {
  pace.attemptMs = blend(pace.attemptMs, durationMs);
  pace.msPerToken = blend(pace.msPerToken, durationMs / Math.max(1, cost));
}

/** Learns from the time to a first token. */
export function observeFirst(pace: Pace, elapsedMs: number): void {
  pace.firstTokenMs = blend(pace.firstTokenMs, elapsedMs);
  const idle = pace.idleFirstTokenMs;
  pace.idleFirstTokenMs = idle === null ? elapsedMs : Math.min(idle * IDLE_RISE, elapsedMs);
}
