import { prefillMs, stepMs } from './costs.js';
import type { Job } from './job.js';
import type { WorkLoad } from './state.js';

/** Part of the allowed pause that a prompt may bring about: other VMs may send one meanwhile. */
const USED_GAP = 0.5;

/**
 * Long prompts that an engine with tight streams may have, waiting and running. With more of
 * them each step of the engine reads one, and every pause is that much longer.
 */
const MOST_PROMPTS = 1;

/**
 * Says whether an engine can read one more long prompt beside its tight streams, with no pause
 * of theirs over the allowed one. This is for bursts: the engines kept free of tight streams
 * are full or have just crashed, and those that have streams take a prompt at a time.
 */
export function sparesStreams(
  load: WorkLoad,
  { tokensPerEvent }: Pick<Job, 'tokensPerEvent'>,
  tokens: number,
  gapMs: number,
): boolean {
  const running = load.waiting + load.streaming;
  if (running - load.tight >= MOST_PROMPTS) return false;
  const eventMs = tokensPerEvent * stepMs(running, 0);
  return eventMs + prefillMs(load.waitingTokens + tokens) <= gapMs * USED_GAP;
}
