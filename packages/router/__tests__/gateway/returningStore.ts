import { setTimeout as sleep } from 'node:timers/promises';

import type { RegisteredEndpoint } from '@filbertlatch/core';

import {
  HistoryLostError,
  type PublicationBatch,
  type PublicationPart,
  type PublicationSource,
} from '../../src/gateway/index.js';
import { testConfiguration } from './fixtures.js';

/** Longest wait of a watch. */
const WATCH_WAIT_MS = 250;

const STEP_MS = 5;

interface Change {
  readonly part: PublicationPart;
  readonly id: string;
  readonly text: string | null;
  readonly revision: number;
}

/** What a store holds; a copy of it can be put back. */
export interface StoreCopy {
  readonly revision: number;
  readonly changes: readonly Change[];
}

/** A store in memory that can go away and come back from an older copy. */
export class ReturningStore {
  /** Named in all answers; undefined names none. */
  era: number | undefined = 1;

  isAway = false;

  /** Complete reads by part. */
  readonly reads: Record<PublicationPart, number> = { configuration: 0, endpoints: 0 };

  #revision = 10;

  #changes: Change[] = [];

  /** Registers an endpoint. */
  put(endpoint: RegisteredEndpoint): void {
    this.#write('endpoints', endpoint.id, JSON.stringify(endpoint));
  }

  /** Publishes a version of the configuration. */
  publish(version: number): void {
    this.#write('configuration', '', String(version));
  }

  copy(): StoreCopy {
    return { revision: this.#revision, changes: this.#changes };
  }

  /** Comes back in the next era. */
  comeBack({ revision, changes }: StoreCopy): void {
    this.#revision = revision;
    this.#changes = [...changes];
    this.era = (this.era ?? 0) + 1;
    this.isAway = false;
  }

  createSource(): PublicationSource {
    return {
      read: (part) => this.#read(part),
      watch: (part, after, signal) => this.#watch(part, after, WATCH_WAIT_MS, signal),
      readChanges: (part, after, signal) => this.#watch(part, after, 0, signal),
      decodeConfiguration: (text) => ({ ...testConfiguration, version: Number(text) }),
      decodeEndpoint: (_id, text) => JSON.parse(text) as RegisteredEndpoint,
    };
  }

  #write(part: PublicationPart, id: string, text: string | null): void {
    this.#revision += 1;
    this.#changes = [...this.#changes, { part, id, text, revision: this.#revision }];
  }

  #answer(entries: PublicationBatch['entries']): PublicationBatch {
    if (this.isAway) throw new Error('the store is away');
    const batch = { entries, revision: this.#revision };
    return this.era === undefined ? batch : { ...batch, era: this.era };
  }

  async #read(part: PublicationPart): Promise<PublicationBatch> {
    this.reads[part] += 1;
    const latest = new Map<string, Change>();
    this.#changes
      .filter((change) => change.part === part)
      .forEach((change) => latest.set(change.id, change));
    return this.#answer([...latest.values()]);
  }

  async #watch(
    part: PublicationPart,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublicationBatch> {
    const list = () =>
      this.#changes.filter((change) => change.part === part && change.revision > after);
    for (let waitedMs = 0; waitedMs < waitMs; waitedMs += STEP_MS) {
      if (!this.isAway && after > this.#revision) throw new HistoryLostError('ahead');
      if (this.isAway || list().length > 0) break;
      await sleep(STEP_MS, undefined, { signal });
    }
    return this.#answer(list());
  }
}
