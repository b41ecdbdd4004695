import type { GenerationSize, PromptPart } from './job.js';

/** Time to read one prompt token; large accelerators read 100 to 160 in a millisecond. */
const MS_PER_PROMPT_TOKEN = 0.0095;

/** Part of an engine that one output token takes in a full batch: a step by its slots. */
const MS_PER_OUTPUT_TOKEN = 0.13;

/** Time from sending to the first event on an idle engine. */
export const BASE_FIRST_EVENT_MS = 45;

/** Work with more prompt tokens for each output token than this is limited by prefill. */
export const PREFILL_BOUND_RATIO = 12;

/** Returns the time that reading so many uncached prompt tokens takes, in milliseconds. */
export function prefillMs(tokens: number): number {
  return tokens * MS_PER_PROMPT_TOKEN;
}

/** Returns the parts that other requests may share: all but the last. */
export function sharedParts({ parts }: GenerationSize): readonly PromptPart[] {
  return parts.slice(0, -1);
}

/** Returns the prompt tokens that no other request shares. */
export function ownTokens(size: GenerationSize): number {
  const shared = sharedParts(size).reduce((sum, { tokens }) => sum + tokens, 0);
  return Math.max(0, size.promptTokens - shared);
}

/** Part of the shared tokens that a request adds: others run with the same parts. */
const SHARED_HELD_PART = 0.5;

/** Returns the memory that a request takes until it ends, in tokens. */
export function heldTokens(size: GenerationSize): number {
  const own = ownTokens(size);
  return own + size.outputTokens + SHARED_HELD_PART * (size.promptTokens - own);
}

/** Returns what a generation with so many uncached tokens takes of an engine; milliseconds. */
export function workMs({ outputTokens }: GenerationSize, uncached: number): number {
  return prefillMs(uncached) + outputTokens * MS_PER_OUTPUT_TOKEN;
}

/** A step without prompts to read, and what each request in the batch adds to it. */
const STEP_MS = 4;
const STEP_MS_PER_REQUEST = 0.1;

/** A step that reads a chunk of prompts takes this much longer. */
const CHUNK_MS = 36;

/** With so much to read an engine reads prompts in every step. */
const BUSY_WAIT_MS = 200;

/** Returns the time that an engine takes for one output token of each of its requests. */
export function stepMs(batch: number, prefillWaitMs: number): number {
  const readingPart = Math.min(1, prefillWaitMs / BUSY_WAIT_MS);
  return STEP_MS + STEP_MS_PER_REQUEST * batch + CHUNK_MS * readingPart;
}
