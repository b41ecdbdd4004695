import type { GenerationSize, PromptSegment } from './job.js';

/** Prefill time of one prompt token; large accelerators read 100 to 160 tokens per millisecond. */
const PREFILL_MS_PER_TOKEN = 0.0095;

/** Time from dispatch to the first event on an idle engine, without prefill. */
export const IDLE_FIRST_EVENT_MS = 45;

/** Prompt tokens per output token above which a request is prefill-bound. */
export const PREFILL_BOUND_RATIO = 12;

/** Returns the prefill time of a number of uncached prompt tokens, in milliseconds. */
export function prefillMs(tokens: number): number {
  return tokens * PREFILL_MS_PER_TOKEN;
}

/** Returns the segments that other requests may share: all but the last. */
export function sharedSegments({ segments }: GenerationSize): readonly PromptSegment[] {
  return segments.slice(0, -1);
}

/** Returns the number of prompt tokens outside the shared segments. */
export function unsharedTokens(size: GenerationSize): number {
  const shared = sharedSegments(size).reduce((sum, { tokens }) => sum + tokens, 0);
  return Math.max(0, size.promptTokens - shared);
}

/** Fraction of the shared tokens counted for one request: concurrent requests share the memory. */
const SHARED_HELD_FRACTION = 0.5;

/** Returns the KV cache memory that a request occupies until it ends, in tokens. */
export function heldTokens(size: GenerationSize): number {
  const own = unsharedTokens(size);
  return own + size.outputTokens + SHARED_HELD_FRACTION * (size.promptTokens - own);
}

/** Fixed part of the time of a decode step without prefill. */
const EMPTY_STEP_MS = 4;

/** Time that each request in the batch adds to a step. */
const STEP_MS_PER_REQUEST = 0.1;

/** Time that a prefill chunk adds to a step. */
const PREFILL_CHUNK_MS = 36;

/** Queued prefill time from which on every step contains a prefill chunk. */
const PREFILL_SATURATION_MS = 200;

/** Returns the mean time of an engine step, which yields one token per request, in milliseconds. */
export function stepMs(batch: number, prefillWaitMs: number): number {
  const prefillFraction = Math.min(1, prefillWaitMs / PREFILL_SATURATION_MS);
  return EMPTY_STEP_MS + STEP_MS_PER_REQUEST * batch + PREFILL_CHUNK_MS * prefillFraction;
}

/**
 * Returns the engine time of a generation, in milliseconds; `uncached` is in prompt tokens. The
 * requests of a full batch share each step, so a token costs more on engines with few slots.
 */
export function engineMs(
  { outputTokens }: Pick<GenerationSize, 'outputTokens'>,
  uncached: number,
  slots: number,
): number {
  return prefillMs(uncached) + (outputTokens * stepMs(slots, 0)) / slots;
}
