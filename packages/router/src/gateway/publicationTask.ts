import { setTimeout as sleep } from 'node:timers/promises';

import {
  LAPSE_GRACE_MS,
  markStoreLost,
  compareEras,
  randomInteger,
  startEra,
  markStoreRegained,
  type StorePosition,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import { OversizedAnswerError } from '../bounds/index.js';
import { LongPoller } from '../platform/index.js';
import { CONFIGURATION_GRACE_MS, ConfigurationAdoption } from './configurationAdoption.js';
import { EndpointAdoption } from './endpointAdoption.js';
import type { CrashRecorder } from './crashRecorder.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import type { LoopDelay } from './loopDelay.js';
import { SilenceTimer } from './silenceTimer.js';
import { StoreEra } from './storeEra.js';
import {
  HistoryLostError,
  type PublicationPart,
  type PublicationSource,
  type PublicationBatch,
} from './publication.js';

/** Maximum backoff; short, since changes must take effect soon after the store is back. */
const MAX_BACKOFF_MS = 600;

/** Maximum backoff of a VM that has no data yet and cannot serve callers. */
const MAX_STARTUP_BACKOFF_MS = 150;

/**
 * Changes of endpoints are batched for this long, since each answer of the store costs processing
 * time.
 */
const ENDPOINT_BATCH_MS = 150;

/** Time-out of a watch, in milliseconds; longer than the store waits. */
const WATCH_TIMEOUT_MS = 3200;

/**
 * Silence of a watch after which its connection may be dead, in milliseconds; longer than the store waits. A
 * connection of its own tells before the time-out whether it is the store that is silent.
 */
const WATCH_SILENCE_MS = 2700;

/** VMs that read the store completely after its return begin within this time of each other. */
const RETURN_SPREAD_MS = 300;

/** Time-out of a complete read. */
const READ_TIMEOUT_MS = 2500;

const parts: readonly PublicationPart[] = ['configuration', 'endpoints'];

/** Progress of reading one part of the publication. */
interface ReadPosition {
  /** Store revision read so far; -1 when the part must be read completely. */
  revision: number;
  /** Era of the store to which the revision belongs; null when it has named none. */
  era: number | null;
  /** True when the last call for the part failed. */
  isLost: boolean;
}

/** Keeps configuration and endpoints in step with what the store publishes. */
export class PublicationTask {
  readonly #state: GatewayState;

  readonly #source: PublicationSource;

  readonly #loopDelay: LoopDelay;

  readonly #log: GatewayLog;

  readonly #configurations: ConfigurationAdoption;

  readonly #endpoints: EndpointAdoption;

  readonly #era: StoreEra;

  /** Epoch milliseconds; entries that the store has lost may be missing until then. */
  #entriesSettleAt = 0;

  readonly #watchers: Readonly<Record<PublicationPart, LongPoller>>;

  readonly #stop = new AbortController();

  #endpointsReadAt = 0;

  #notifyPeers: (() => void) | null = null;

  #notifyReturn: (() => void) | null = null;

  readonly #positions: Record<PublicationPart, ReadPosition> = {
    configuration: { revision: -1, era: null, isLost: false },
    endpoints: { revision: -1, era: null, isLost: false },
  };

  constructor(
    state: GatewayState,
    source: PublicationSource,
    crashes: CrashRecorder,
    loopDelay: LoopDelay,
    log: GatewayLog,
  ) {
    this.#state = state;
    this.#source = source;
    this.#loopDelay = loopDelay;
    this.#log = log;
    this.#configurations = new ConfigurationAdoption(state, source, log);
    this.#endpoints = new EndpointAdoption(state, source, crashes, loopDelay, log);
    this.#era = new StoreEra(log);
    this.#watchers = {
      configuration: this.#createWatcher('configuration'),
      endpoints: this.#createWatcher('endpoints'),
    };
  }

  #createWatcher(part: PublicationPart): LongPoller {
    return new LongPoller(
      (signal) => this.#poll(part, signal),
      (error) => this.#markLost(part, error),
      this.#state.random,
      () => true,
      () => this.#maxBackoffMs(part),
    );
  }

  /** True unless the last call for one of the parts failed. */
  get isConnected(): boolean {
    return !this.#positions.configuration.isLost && !this.#positions.endpoints.isLost;
  }

  /** Time up to which all endpoints are known that the store had; epoch milliseconds, 0 for none. */
  get endpointsReadAt(): number {
    return this.#endpointsReadAt;
  }

  /** Sets the callback for data from the store that peers may lack. */
  onUpdate(notify: () => void): void {
    this.#notifyPeers = notify;
  }

  /** Sets the callback for the first endpoints, from the store or a peer. */
  onFirstRead(notify: (revision: number) => void): void {
    this.#endpoints.onFirstRead(notify);
  }

  /** Sets the callback for a return of the store from an older copy. */
  onReturn(notify: () => void): void {
    this.#notifyReturn = notify;
  }

  /** Starts to read and watch the store. */
  start(): void {
    Object.values(this.#watchers).forEach((watcher) => {
      void watcher.run();
    });
  }

  /** Restarts the calls, whose connections may be dead after a pause of the process. */
  restart(): void {
    Object.values(this.#watchers).forEach((watcher) => watcher.restart());
  }

  /** Aborts all calls. */
  stop(): void {
    this.#stop.abort();
    Object.values(this.#watchers).forEach((watcher) => watcher.stop());
  }

  /** Adopts a peer's configuration if it is valid and newer. */
  offerConfiguration(text: string, era: number | null, source: string): void {
    this.#configurations.offerOfPeer(text, era, source);
  }

  /** Adopts a peer's endpoints while the store is unreachable and they are newer. */
  offerEndpoints(endpoints: readonly unknown[], position: StorePosition, source: string): void {
    if (this.isConnected || !this.#endpoints.adoptOfPeer(endpoints, position, source)) return;
    // After the outage the store is read completely: watching would bring back older entries.
    this.#positions.endpoints.revision = -1;
  }

  /** Ends what is believed until the store has what it lost; called by the maintenance timer. */
  maintain(): void {
    this.#endpoints.removeMissing();
    // What is written again is not read while the store is away, nor in a standstill.
    if (this.#positions.configuration.isLost) return;
    const listenedSince = this.#loopDelay.listenedSince(CONFIGURATION_GRACE_MS);
    this.#configurations.maintain(listenedSince + CONFIGURATION_GRACE_MS);
  }

  async #poll(part: PublicationPart, callSignal: AbortSignal): Promise<boolean> {
    const position = this.#positions[part];
    const isFullRead = position.revision < 0;
    const timeout = new AbortController();
    const timer = new SilenceTimer(this.#loopDelay);
    timer.start(isFullRead ? READ_TIMEOUT_MS : WATCH_TIMEOUT_MS, () => {
      timeout.abort(new DOMException('no answer in time', 'TimeoutError'));
    });
    const signal = AbortSignal.any([callSignal, this.#stop.signal, timeout.signal]);
    try {
      const batch = isFullRead
        ? await this.#source.read(part, signal)
        : await this.#watch(part, position.revision, signal);
      this.#advanceEra(part, batch);
      this.#markRegained(part);
      if (!isFullRead && position.revision < 0) {
        // The changes don't follow on what was read: the store has come back from a copy.
        await sleep(randomInteger(this.#state.random, RETURN_SPREAD_MS), undefined, { signal });
        return true;
      }
      if (part === 'endpoints' && now() >= this.#entriesSettleAt) {
        this.#endpointsReadAt = this.#loopDelay.earliestArrivalAt;
      }
      this.#apply(part, batch, isFullRead);
      position.revision = Math.max(position.revision, batch.revision);
      if (part === 'endpoints') await sleep(ENDPOINT_BATCH_MS, undefined, { signal: callSignal });
      return true;
    } catch (error) {
      // The changes after the same revision would be too many again; a complete read has pages.
      if (error instanceof OversizedAnswerError) position.revision = -1;
      if (!(error instanceof HistoryLostError)) throw error;
      position.revision = -1;
      this.#log.warn('history_lost', { part });
      return true;
    } finally {
      timer.stop();
    }
  }

  /**
   * Waits for changes. A watch that falls silent says only that its connection may have failed: a call on
   * another one shows whether the store is there, and brings what the watch would have brought.
   */
  async #watch(
    part: PublicationPart,
    revision: number,
    callSignal: AbortSignal,
  ): Promise<PublicationBatch> {
    const isOver = new AbortController();
    const signal = AbortSignal.any([callSignal, isOver.signal]);
    const silence = new SilenceTimer(this.#loopDelay);
    const watch = this.#source.watch(part, revision, signal);
    const silent = new Promise<null>((resolve) => {
      silence.start(WATCH_SILENCE_MS, () => resolve(null));
    });
    try {
      const batch = await Promise.race([watch, silent]);
      return batch ?? (await this.#replaceWatch(part, revision, watch, signal));
    } finally {
      silence.stop();
      isOver.abort();
    }
  }

  /** Reads on another connection what a silent watch waits for; the watch may still answer. */
  async #replaceWatch(
    part: PublicationPart,
    revision: number,
    watch: Promise<PublicationBatch>,
    signal: AbortSignal,
  ): Promise<PublicationBatch> {
    const readChanges = async () => {
      const batch = await this.#source.readChanges(part, revision, signal);
      this.#log.warn('store_connection_failed', { part });
      return batch;
    };
    const changes = readChanges().catch((error: unknown) => {
      if (error instanceof HistoryLostError || error instanceof OversizedAnswerError) throw error;
      return watch;
    });
    return Promise.race([watch, changes]);
  }

  /** Has each part read completely that was read in an earlier era than that of an answer. */
  #advanceEra(answered: PublicationPart, { era: named, revision }: PublicationBatch): void {
    const { directory } = this.#state;
    const era = this.#era.read(named);
    if (era === null) return;
    if (this.#era.advance(era)) {
      const before = { eraBefore: directory.era, revisionBefore: directory.revision };
      this.#log.change('store_returned', { era, revision, ...before });
      this.#configurations.startEra();
      this.#entriesSettleAt = now() + LAPSE_GRACE_MS;
      this.#notifyReturn?.();
    }
    startEra(directory, era, now());
    parts.forEach((part) => {
      const position = this.#positions[part];
      const isEarlier = compareEras(position.era, era) < 0;
      position.era = era;
      if (!isEarlier || position.revision < 0) return;
      position.revision = -1;
      if (part !== answered) this.#watchers[part].restart();
    });
  }

  #apply(part: PublicationPart, batch: PublicationBatch, isFullRead: boolean): void {
    if (part === 'configuration') {
      this.#applyConfiguration(batch);
      return;
    }
    const position = { era: this.#positions.endpoints.era, revision: batch.revision };
    if (isFullRead) {
      this.#endpoints.adoptAll(batch.entries, position);
      this.#notifyPeers?.();
    } else {
      this.#endpoints.adoptChanges(batch.entries, position);
    }
  }

  #applyConfiguration({ entries }: PublicationBatch): void {
    const texts = entries.flatMap(({ text }) => text ?? []);
    if (texts.length === 0) return;
    this.#configurations.offerOfStore(texts, this.#positions.configuration.era);
    this.#notifyPeers?.();
  }

  #maxBackoffMs(part: PublicationPart): number {
    const { routing, directory } = this.#state;
    const isUnknown =
      part === 'configuration' ? routing.configuration === null : directory.revision < 0;
    return isUnknown ? MAX_STARTUP_BACKOFF_MS : MAX_BACKOFF_MS;
  }

  #markLost(part: PublicationPart, error: unknown): void {
    const position = this.#positions[part];
    if (part === 'endpoints') markStoreLost(this.#state.directory);
    if (position.isLost) return;
    position.isLost = true;
    this.#log.warn('store_lost', { part, error: String(error) });
  }

  #markRegained(part: PublicationPart): void {
    const position = this.#positions[part];
    if (part === 'endpoints') markStoreRegained(this.#state.directory, now());
    if (!position.isLost) return;
    position.isLost = false;
    this.#log.change('store_regained', { part });
  }
}
