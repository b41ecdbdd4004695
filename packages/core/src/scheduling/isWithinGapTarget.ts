import { prefillMs, stepMs } from './costs.js';
import type { Job } from './job.js';
import type { WorkLoad } from './state.js';

/** Fraction of the gap target that one prompt may use: another VM may send one at the same time. */
const MAX_GAP_FRACTION = 0.5;

/**
 * Prefill-bound requests, waiting and running, that an engine with decode-bound streams may have.
 * With more of them every step contains a prefill chunk, which lengthens every gap.
 */
const MAX_PREFILL_REQUESTS = 1;

/**
 * Says whether an engine can read one more prompt of `tokens` uncached tokens without a gap over
 * `gapMs` in its decode-bound streams. Used in bursts, when the engines for prefill are full or
 * have just crashed: the others then take one prompt at a time.
 */
export function isWithinGapTarget(
  load: WorkLoad,
  { tokensPerEvent }: Pick<Job, 'tokensPerEvent'>,
  tokens: number,
  gapMs: number,
): boolean {
  const running = load.waiting + load.streaming;
  if (running - load.tight >= MAX_PREFILL_REQUESTS) return false;
  const eventMs = tokensPerEvent * stepMs(running, 0);
  return eventMs + prefillMs(load.waitingTokens + tokens) <= gapMs * MAX_GAP_FRACTION;
}
