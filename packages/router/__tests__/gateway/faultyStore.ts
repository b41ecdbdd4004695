import { setTimeout as sleep } from 'node:timers/promises';

import type { RegisteredEndpoint } from '@filbertlatch/core';

import {
  HistoryLostError,
  type PublicationBatch,
  type PublicationPart,
  type PublicationSource,
} from '../../src/gateway/index.js';
import { testConfiguration } from './fixtures.js';

/**
 * What fails: the connections that are open fall silent or are cut, and new ones work; or the store itself
 * answers nothing, or refuses connections.
 */
export type StoreFault = 'silent-connections' | 'cut-connections' | 'hung' | 'refusing';

/** Longest wait of a watch, as that of the platform's store client. */
const WATCH_WAIT_MS = 2500;

const STEP_MS = 10;

interface Change {
  readonly part: PublicationPart;
  readonly id: string;
  readonly text: string | null;
  readonly revision: number;
}

function createError(code: string): Error {
  return Object.assign(new Error(code), { code });
}

/** A store in memory that fails, or whose connections do. */
export class FaultyStore {
  /** Time that each answer takes, in milliseconds. */
  delayMs = 0;

  /** Whether changes from before now are dropped. */
  hasHistory = true;

  /** Calls so far that read changes on a connection of their own. */
  ownConnections = 0;

  #fault: StoreFault | null = null;

  /** Number of faults so far: a connection is as old as the number that it was opened at. */
  #faults = 0;

  #revision = 10;

  #changes: Change[] = [];

  put(endpoint: RegisteredEndpoint): void {
    this.#write('endpoints', endpoint.id, JSON.stringify(endpoint));
  }

  remove(id: string): void {
    this.#write('endpoints', id, null);
  }

  /** Publishes a version of the configuration. */
  publish(version: number): void {
    this.#write('configuration', '', String(version));
  }

  /** Fails from now on; null ends the fault of the store, or has no effect on connections that failed. */
  fail(fault: StoreFault | null): void {
    this.#fault = fault;
    if (fault !== null) this.#faults += 1;
  }

  createSource(): PublicationSource {
    return {
      read: (part, signal) => this.#read(part, signal),
      watch: (part, after, signal) => this.#watch(part, after, WATCH_WAIT_MS, signal),
      readChanges: (part, after, signal) => {
        this.ownConnections += 1;
        return this.#watch(part, after, 0, signal);
      },
      decodeConfiguration: (text) => ({ ...testConfiguration, version: Number(text) }),
      decodeEndpoint: (_id, text) => JSON.parse(text) as RegisteredEndpoint,
    };
  }

  #write(part: PublicationPart, id: string, text: string | null): void {
    this.#revision += 1;
    this.#changes = [...this.#changes, { part, id, text, revision: this.#revision }];
  }

  /** Waits until an answer passes on a connection that was opened after so many faults. */
  async #pass(openedAt: number, signal: AbortSignal): Promise<void> {
    if (this.#fault === 'refusing') {
      throw createError(openedAt === this.#faults ? 'ECONNREFUSED' : 'UND_ERR_SOCKET');
    }
    const isOld = openedAt < this.#faults;
    if (isOld && this.#fault === 'cut-connections') throw createError('UND_ERR_SOCKET');
    const isBlocked = () =>
      this.#fault === 'hung' || (isOld && this.#fault === 'silent-connections');
    while (isBlocked()) await sleep(STEP_MS, undefined, { signal });
  }

  async #read(part: PublicationPart, signal: AbortSignal): Promise<PublicationBatch> {
    await this.#pass(this.#faults, signal);
    const latest = new Map<string, Change>();
    this.#changes
      .filter((change) => change.part === part)
      .forEach((change) => latest.set(change.id, change));
    const entries = [...latest.values()].filter(({ text }) => text !== null);
    return { entries, revision: this.#revision };
  }

  async #watch(
    part: PublicationPart,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublicationBatch> {
    const openedAt = this.#faults;
    const list = () =>
      this.#changes.filter((change) => change.part === part && change.revision > after);
    const endsAt = performance.now() + waitMs;
    for (;;) {
      await this.#pass(openedAt, signal);
      if (!this.hasHistory && list().length > 0) throw new HistoryLostError('dropped');
      if (list().length > 0 || performance.now() >= endsAt) break;
      await sleep(STEP_MS, undefined, { signal });
    }
    if (this.delayMs > 0) await sleep(this.delayMs, undefined, { signal });
    return { entries: list(), revision: this.#revision };
  }
}
