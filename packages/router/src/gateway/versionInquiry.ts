import type { SeenVersion } from '@filbertlatch/core';
import * as z from 'zod';

/** Age up to which what a VM has read from the store shows which versions serve now. */
export const MAX_STORE_AGE_MS = 300;

const MAX_VERSIONS = 64;
const MAX_AGE_MS = 86_400_000;

const text = z.string().min(1).max(256);
const age = z.number().min(0).max(MAX_AGE_MS);

/** What a VM knows of the versions of a service, in answer to another that asks for a stream. */
export const versionReplySchema = z.object({
  /** Stream key of the question. */
  key: text,
  vmId: text,
  serviceId: text,
  /** Software version, milliseconds since an endpoint of it was seen. */
  versions: z.array(z.tuple([text.nullable(), age])).max(MAX_VERSIONS),
  /** Age of what the VM has read from the store; null when it has not read it. */
  storeAgeMs: age.nullable(),
});

/** A validated answer. */
export type VersionReply = z.infer<typeof versionReplySchema>;

/** Returns the versions in an answer received at `now`. */
export function extractReplyVersions({ serviceId, versions }: VersionReply, now: number) {
  return versions.map(([version, ageMs]): SeenVersion => ({ serviceId, version, at: now - ageMs }));
}

/** What the answers to one question show. */
export class VersionInquiry {
  #asked = 0;

  #isMajorityHeard = false;

  readonly #replies = new Set<string>();

  #isStoreCurrent: boolean;

  /** `storeAgeMs` is the age of what this VM has read from the store. */
  constructor(storeAgeMs: number) {
    this.#isStoreCurrent = storeAgeMs <= MAX_STORE_AGE_MS;
  }

  /**
   * Begins a round: `asked` is the number of peers that are asked from now on, and `isMajorityHeard`
   * is true when this VM hears more than half of the fleet.
   */
  ask(asked: number, isMajorityHeard: boolean): void {
    this.#asked = asked;
    this.#isMajorityHeard = isMajorityHeard;
  }

  /** Adds the answer of a peer. */
  add({ vmId, storeAgeMs }: VersionReply): void {
    this.#replies.add(vmId);
    this.#isStoreCurrent ||= storeAgeMs !== null && storeAgeMs <= MAX_STORE_AGE_MS;
  }

  /** True when every peer that was asked has answered. */
  get isComplete(): boolean {
    return this.#replies.size >= this.#asked;
  }

  /**
   * True when a version that this VM does not know would be known to those that answered: one has just
   * read the store, or they are half of those asked in the greater part of the fleet.
   */
  get isConfirmed(): boolean {
    if (this.#replies.size === 0) return false;
    return this.#isStoreCurrent || (this.#isMajorityHeard && 2 * this.#replies.size >= this.#asked);
  }
}
