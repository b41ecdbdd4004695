import { setTimeout as sleep } from 'node:timers/promises';

import {
  adoptConfiguration,
  applyEntries,
  applyEntry,
  configurationVersion,
  dropMissing,
  forgetLifetime,
  loseStore,
  reachRevision,
  regainStore,
} from '@filbertlatch/core';

import * as z from 'zod';

import { now } from '../clock.js';
import { Watcher } from '../platform/index.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import {
  HistoryLostError,
  type PublicationPart,
  type PublicationSource,
  type PublishedEntry,
  type PublicationBatch,
} from './publication.js';

/** Longest pause between tries: a change must be in force soon after the store is back. */
const MAX_BACKOFF_MS = 600;

/** The same for a VM that knows nothing yet: callers wait for it alone. */
const MAX_STARTUP_BACKOFF_MS = 150;

/** Changes of endpoints are collected for so long, since each answer of the store has a price. */
const ENDPOINT_BATCH_MS = 150;

/** A call that takes longer than it was asked to wait is on a dead connection. */
const WATCH_TIMEOUT_MS = 3200;

/** Longest wait for the first whole reading. */
const READ_TIMEOUT_MS = 2500;

/** An endpoint as a peer hands it on. */
const registeredEndpointSchema = z.object({
  id: z.string(),
  serviceId: z.string(),
  address: z.string(),
  zone: z.string(),
  slots: z.number().int().positive(),
  state: z.enum(['ready', 'draining']),
  startedAt: z.number().nullable(),
});

/** How far the reading of a part has come. */
interface ReadPosition {
  revision: number;
  isLost: boolean;
}

/** The task that keeps configuration and endpoints as the platform publishes them. */
export class PublicationTask {
  readonly #state: GatewayState;

  readonly #source: PublicationSource;

  readonly #log: GatewayLog;

  readonly #watchers: readonly Watcher[];

  readonly #stop = new AbortController();

  #notifyPeers: (() => void) | null = null;

  readonly #positions: Record<PublicationPart, ReadPosition> = {
    configuration: { revision: -1, isLost: false },
    endpoints: { revision: -1, isLost: false },
  };

  constructor(state: GatewayState, source: PublicationSource, log: GatewayLog) {
    this.#state = state;
    this.#source = source;
    this.#log = log;
    const parts: readonly PublicationPart[] = ['configuration', 'endpoints'];
    this.#watchers = parts.map(
      (part) =>
        new Watcher(
          (signal) => this.#poll(part, signal),
          (error) => this.#markLost(part, error),
          state.random,
          () => true,
          () => this.#maxBackoffMs(part),
        ),
    );
  }

  /** True while the store answers for both parts. */
  get isConnected(): boolean {
    return !this.#positions.configuration.isLost && !this.#positions.endpoints.isLost;
  }

  /** Sets what is called when the store has brought something that peers may lack. */
  onUpdate(tell: () => void): void {
    this.#notifyPeers = tell;
  }

  /** Starts to read. */
  start(): void {
    this.#watchers.forEach((watcher) => {
      void watcher.run();
    });
  }

  /** Starts the calls again: their connections may not have lived through a pause. */
  restart(): void {
    this.#watchers.forEach((watcher) => watcher.restart());
  }

  /** Ends all calls. */
  stop(): void {
    this.#stop.abort();
    this.#watchers.forEach((watcher) => watcher.stop());
  }

  /** Puts a configuration in force when it can be read and is newer. */
  offerConfiguration(text: string, source: string): void {
    const { routing } = this.#state;
    try {
      const configuration = this.#source.decodeConfiguration(text);
      if (!adoptConfiguration(routing, configuration)) return;
      this.#state.configurationText = text;
      const { version, routes } = configuration;
      this.#log.change('configuration_adopted', { version, routes: routes.length, source });
    } catch (error) {
      const version = configurationVersion(routing);
      this.#log.warn('configuration_unreadable', { source, version, error: String(error) });
    }
  }

  /** Takes in a peer's endpoints while the store does not answer here. */
  offerEndpoints(endpoints: readonly unknown[], revision: number, source: string): void {
    const { directory } = this.#state;
    if (this.isConnected || revision <= directory.revision) return;
    const checked = endpoints.map((endpoint) => registeredEndpointSchema.safeParse(endpoint));
    const usable = checked.flatMap(({ data }) => (data === undefined ? [] : [data]));
    this.#resetRestarted(applyEntries(directory, usable, revision, now(), 'peer'));
    // The store is read whole on its return: its changes since would bring back older entries.
    this.#positions.endpoints.revision = -1;
    this.#log.change('endpoints_read', { endpoints: usable.length, revision, source });
  }

  /** Removes the endpoints whose entries did not return after an outage. */
  removeMissing(): void {
    dropMissing(this.#state.directory, now()).forEach((endpointId) => {
      this.#log.change('endpoint_gone', { endpointId, reason: 'not_back_after_outage' });
    });
  }

  async #poll(part: PublicationPart, attempt: AbortSignal): Promise<boolean> {
    const position = this.#positions[part];
    const isFirst = position.revision < 0;
    const timeout = AbortSignal.timeout(isFirst ? READ_TIMEOUT_MS : WATCH_TIMEOUT_MS);
    const signal = AbortSignal.any([attempt, this.#stop.signal, timeout]);
    try {
      const reading = isFirst
        ? await this.#source.read(part, signal)
        : await this.#source.watch(part, position.revision, signal);
      this.#markRegained(part);
      this.#apply(part, reading, isFirst);
      position.revision = Math.max(position.revision, reading.revision);
      if (part === 'endpoints') await sleep(ENDPOINT_BATCH_MS, undefined, { signal: attempt });
      return true;
    } catch (error) {
      if (!(error instanceof HistoryLostError)) throw error;
      position.revision = -1;
      this.#log.warn('history_lost', { part });
      return true;
    }
  }

  #apply(part: PublicationPart, reading: PublicationBatch, isWhole: boolean): void {
    if (part === 'configuration') {
      const text = reading.entries.findLast((entry) => entry.text !== null)?.text ?? null;
      if (text === null) return;
      this.offerConfiguration(text, 'store');
      this.#notifyPeers?.();
      return;
    }
    if (isWhole) {
      this.#applyAll(reading);
      this.#notifyPeers?.();
    } else {
      this.#applyChanges(reading);
    }
  }

  #applyAll({ entries, revision }: PublicationBatch): void {
    const endpoints = entries
      .map((entry) => this.#decode(entry))
      .filter((endpoint) => endpoint !== null);
    this.#resetRestarted(applyEntries(this.#state.directory, endpoints, revision, now()));
    this.#log.change('endpoints_read', { endpoints: endpoints.length, revision });
  }

  #applyChanges({ entries, revision }: PublicationBatch): void {
    const { directory } = this.#state;
    for (const entry of entries) {
      const before = directory.endpoints.get(entry.id)?.state ?? 'unknown';
      const isRemoved = entry.text === null;
      const change = { id: entry.id, endpoint: this.#decode(entry), isRemoved };
      if (applyEntry(directory, change, now())) this.#resetRestarted([entry.id]);
      const after = directory.endpoints.get(entry.id)?.state ?? 'gone';
      if (before !== after) {
        const fields = { endpointId: entry.id, before, after, revision };
        this.#log.change('endpoint_changed', fields);
      }
    }
    reachRevision(directory, revision);
  }

  #maxBackoffMs(part: PublicationPart): number {
    const { routing, directory } = this.#state;
    const isUnknown =
      part === 'configuration' ? routing.configuration === null : directory.revision < 0;
    return isUnknown ? MAX_STARTUP_BACKOFF_MS : MAX_BACKOFF_MS;
  }

  #resetRestarted(endpointIds: readonly string[]): void {
    endpointIds.forEach((endpointId) => {
      forgetLifetime(this.#state.scheduling, endpointId);
      this.#log.change('endpoint_restarted', { endpointId });
    });
  }

  #decode({ id, text }: PublishedEntry) {
    if (text === null) return null;
    const endpoint = this.#source.decodeEndpoint(id, text);
    if (endpoint === null) this.#log.warn('entry_unreadable', { endpointId: id });
    return endpoint;
  }

  #markLost(part: PublicationPart, error: unknown): void {
    const position = this.#positions[part];
    if (part === 'endpoints') loseStore(this.#state.directory);
    if (position.isLost) return;
    position.isLost = true;
    this.#log.warn('store_lost', { part, error: String(error) });
  }

  #markRegained(part: PublicationPart): void {
    const position = this.#positions[part];
    if (part === 'endpoints') regainStore(this.#state.directory, now());
    if (!position.isLost) return;
    position.isLost = false;
    this.#log.change('store_regained', { part });
  }
}
