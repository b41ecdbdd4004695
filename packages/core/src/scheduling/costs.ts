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

/** Returns what a generation takes of an engine that holds its shared parts; milliseconds. */
export function workMs(size: GenerationSize): number {
  return prefillMs(ownTokens(size)) + size.outputTokens * MS_PER_OUTPUT_TOKEN;
}
