import { sharedParts } from './costs.js';
import type { GenerationSize } from './job.js';

/** One shared part of prompts, and the engine that read it. */
export interface PartRead {
  readonly partId: string;
  readonly endpointId: string;
}

/** Which engines hold which shared parts of prompts, as far as the VMs' own sends tell. */
export interface PromptCaches {
  /** Instant of the last read by part and engine. */
  readonly reads: Map<string, Map<string, number>>;
  /** This VM's own reads that peers have not been told often enough, with the times left. */
  readonly untold: { readonly read: PartRead; timesLeft: number }[];
}

/** Engines keep parts until others need the memory; a part unused for so long may be gone. */
const KEPT_MS = 20_000;

/** Each read is told so often, since a message may be lost. */
const TIMES_TOLD = 2;

/** Most reads in one message. */
const MOST_TOLD = 64;

/** Creates the caches of engines that were not sent anything. */
export function createPromptCaches(): PromptCaches {
  return { reads: new Map(), untold: [] };
}

function noteRead({ reads }: PromptCaches, { partId, endpointId }: PartRead, now: number): void {
  const engines = reads.get(partId) ?? new Map<string, number>();
  engines.set(endpointId, now);
  reads.set(partId, engines);
}

/** Records that an engine reads the shared parts of a prompt. */
export function recordPrompt(
  caches: PromptCaches,
  endpointId: string,
  size: GenerationSize,
  now: number,
): void {
  for (const { id } of sharedParts(size)) {
    const read = { partId: id, endpointId };
    noteRead(caches, read, now);
    caches.untold.push({ read, timesLeft: TIMES_TOLD });
  }
}

/** Takes the reads to tell peers now. */
export function takeUntold(caches: PromptCaches): PartRead[] {
  const told = caches.untold.slice(0, MOST_TOLD);
  told.forEach((entry) => {
    entry.timesLeft -= 1;
  });
  const left = caches.untold.filter(({ timesLeft }) => timesLeft > 0);
  caches.untold.splice(0, caches.untold.length, ...left);
  return told.map(({ read }) => read);
}

/** Takes in the reads of a peer's requests. */
export function learnReads(caches: PromptCaches, reads: readonly PartRead[], now: number): void {
  reads.forEach((read) => noteRead(caches, read, now));
}

/** Forgets parts that were not used lately, and engines that are gone. */
export function fadeReads(
  { reads }: PromptCaches,
  isKnown: (endpointId: string) => boolean,
  now: number,
): void {
  reads.forEach((engines, partId) => {
    engines.forEach((at, endpointId) => {
      if (now - at > KEPT_MS || !isKnown(endpointId)) engines.delete(endpointId);
    });
    if (engines.size === 0) reads.delete(partId);
  });
}

/** Returns the prompt tokens that an engine has to read: those behind the first missing part. */
export function uncachedTokens(
  { reads }: PromptCaches,
  endpointId: string,
  size: GenerationSize,
  now: number,
): number {
  let cached = 0;
  for (const { id, tokens } of sharedParts(size)) {
    const at = reads.get(id)?.get(endpointId);
    if (at === undefined || now - at > KEPT_MS) break;
    cached += tokens;
  }
  return Math.max(0, size.promptTokens - cached);
}

/** Lists the engines that hold a part. */
export function listHolders({ reads }: PromptCaches, partId: string): Iterable<string> {
  return reads.get(partId)?.keys() ?? [];
}

/** Returns the prompt tokens to read at the engine that holds most of a prompt. */
export function leastUncached(caches: PromptCaches, size: GenerationSize, now: number): number {
  const last = sharedParts(size).at(-1);
  let least = size.promptTokens;
  if (last === undefined) return least;
  for (const endpointId of listHolders(caches, last.id)) {
    least = Math.min(least, uncachedTokens(caches, endpointId, size, now));
  }
  return least;
}
