import { setTimeout as sleep } from 'node:timers/promises';

import type { Configuration, RegisteredEndpoint } from '@filbertlatch/core';

import {
  HistoryLostError,
  type PublicationBatch,
  type PublicationPart,
  type PublicationSource,
} from '../../src/gateway/index.js';

/** How long the store holds back changes when it falls silent. */
const STORE_SILENCE_MS = 2500;

interface EntryWrite {
  readonly id: string;
  readonly endpoint: RegisteredEndpoint | null;
  readonly revision: number;
}

/** The entries that the store held at a revision. */
export interface EntriesCopy {
  readonly revision: number;
  readonly changes: readonly EntryWrite[];
  readonly endpoints: ReadonlyMap<string, RegisteredEndpoint>;
}

/** A store whose entries the test writes. */
export class ChangingStore {
  #revision = 10;

  #era: number | null;

  #changes: EntryWrite[] = [];

  readonly #endpoints = new Map<string, RegisteredEndpoint>();

  readonly #waiting = new Set<() => void>();

  #isSilent = false;

  /** Changes after this revision are kept. */
  #historyFrom = 0;

  #configuration: Configuration;

  #configurationRevision = 10;

  /** `era` is the first one; null if the store names none. */
  constructor(configuration: Configuration, era: number | null = null) {
    this.#configuration = configuration;
    this.#era = era;
  }

  put(endpoint: RegisteredEndpoint): void {
    this.#endpoints.set(endpoint.id, endpoint);
    this.#change(endpoint.id, endpoint);
  }

  /** Lists the registered endpoints. */
  list(): RegisteredEndpoint[] {
    return [...this.#endpoints.values()];
  }

  /** Lists the ids of the registered endpoints. */
  listIds(): string[] {
    return [...this.#endpoints.keys()];
  }

  remove(id: string): void {
    if (this.#endpoints.delete(id)) this.#change(id, null);
  }

  /** Copies all entries. */
  copy(): EntriesCopy {
    return {
      revision: this.#revision,
      changes: [...this.#changes],
      endpoints: new Map(this.#endpoints),
    };
  }

  /** Comes back with the entries of a copy, in its next era. */
  comeBack({ revision, changes, endpoints }: EntriesCopy): void {
    this.#era = (this.#era ?? 0) + 1;
    this.#revision = revision;
    this.#changes = [...changes];
    this.#endpoints.clear();
    endpoints.forEach((endpoint, id) => this.#endpoints.set(id, endpoint));
    this.#wakeWatches();
  }

  /** Publishes a new version of the configuration. */
  publish(configuration: Configuration): void {
    this.#configuration = configuration;
    this.#revision += 1;
    this.#configurationRevision = this.#revision;
    this.#wakeWatches();
  }

  /** Drops the changes so far; with `forever` also those to come, but for watches that wait. */
  dropHistory(forever: boolean): void {
    this.#historyFrom = forever ? Number.POSITIVE_INFINITY : this.#revision;
  }

  /** Answers nothing from now on. */
  hang(): void {
    this.#isSilent = true;
  }

  /** Holds back changes for `STORE_SILENCE_MS`. */
  async fallSilent(): Promise<void> {
    this.#isSilent = true;
    await sleep(STORE_SILENCE_MS);
    this.#isSilent = false;
    this.#wakeWatches();
  }

  createSource(): PublicationSource {
    return {
      read: (part) => Promise.resolve(this.#readAll(part)),
      watch: (part, after, signal) => this.#watch(part, after, true, signal),
      readChanges: (part, after, signal) => this.#watch(part, after, false, signal),
      decodeConfiguration: () => this.#configuration,
      decodeEndpoint: (_id, text) => JSON.parse(text) as RegisteredEndpoint,
    };
  }

  #readAll(part: PublicationPart): PublicationBatch {
    const entries =
      part === 'configuration'
        ? [{ id: '', text: 'published' }]
        : [...this.#endpoints].map(([id, entry]) => ({ id, text: JSON.stringify(entry) }));
    return this.#createBatch(entries);
  }

  #createBatch(entries: PublicationBatch['entries']): PublicationBatch {
    const batch = { entries, revision: this.#revision };
    return this.#era === null ? batch : { ...batch, era: this.#era };
  }

  async #watch(
    part: PublicationPart,
    after: number,
    waits: boolean,
    signal: AbortSignal,
  ): Promise<PublicationBatch> {
    if (part === 'configuration') {
      while (this.#isSilent || (waits && this.#configurationRevision <= after)) {
        await this.#waitForChange(signal);
      }
      return this.#configurationRevision <= after ? this.#createBatch([]) : this.#readAll(part);
    }
    if (after < Math.min(this.#historyFrom, this.#revision)) throw new HistoryLostError('dropped');
    const eraBefore = this.#era;
    const list = () => this.#changes.filter(({ revision }) => revision > after);
    while (this.#isSilent || (waits && list().length === 0 && this.#era === eraBefore)) {
      await this.#waitForChange(signal);
    }
    const entries = list().map(({ id, endpoint }) => ({
      id,
      text: endpoint === null ? null : JSON.stringify(endpoint),
    }));
    return this.#createBatch(entries);
  }

  #waitForChange(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const fail = () => reject(new Error('aborted'));
      signal.addEventListener('abort', fail);
      this.#waiting.add(() => {
        signal.removeEventListener('abort', fail);
        resolve();
      });
    });
  }

  #change(id: string, endpoint: RegisteredEndpoint | null): void {
    this.#revision += 1;
    this.#changes.push({ id, endpoint, revision: this.#revision });
    this.#wakeWatches();
  }

  #wakeWatches(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }
}
