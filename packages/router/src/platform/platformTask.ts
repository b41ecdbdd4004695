import {
  countLiveVms,
  highestKnownRevision,
  isPlatformReader,
  type ActionOf,
  type Message,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { Decider } from '../decider/index.js';
import type { ControlTraffic } from '../metrics/index.js';
import type { Settings } from '../settings/index.js';
import { PlatformClient } from './platformClient.js';
import { Watcher } from './watcher.js';

type Part = 'configuration' | 'list';

/** The task that watches the configuration service and the list of VMs. */
export class PlatformTask {
  readonly #decider: Decider;

  readonly #client: PlatformClient;

  readonly #watchers: readonly Watcher[];

  readonly #stop = new AbortController();

  constructor(settings: Settings['platform'], decider: Decider, traffic: ControlTraffic) {
    this.#decider = decider;
    this.#client = new PlatformClient(settings, traffic, () =>
      countLiveVms(decider.core.membership),
    );
    const { random, membership } = decider.core;
    const { readersPerZone } = settings;
    const isActive = () =>
      readersPerZone === undefined || isPlatformReader(membership, readersPerZone, now());
    this.#watchers = [
      new Watcher(
        (signal) => this.#watchManifest(signal),
        () => this.#fail('configuration'),
        random,
        isActive,
      ),
      new Watcher(
        (signal) => this.#watchList(signal),
        () => this.#fail('list'),
        random,
        isActive,
      ),
    ];
  }

  /** Starts to watch. */
  start(): void {
    this.#watchers.forEach((watcher) => {
      void watcher.run();
    });
  }

  /** Reads a sheet and posts it. */
  async fetchSheet({ sheet }: ActionOf<'fetch-sheet'>): Promise<void> {
    try {
      const { text, digest } = await this.#client.readSheet(sheet);
      this.#decider.post({ kind: 'sheet-offered', source: 'service', sheet, digest, text });
    } catch {
      this.#decider.post({ kind: 'sheet-missing', source: 'service', sheet });
    }
  }

  /** Reads the manifest now, whatever was read before, and posts it. */
  async fetchManifest(): Promise<void> {
    try {
      const manifest = await this.#client.readManifest(this.#stop.signal);
      if (manifest === null) this.#fail('configuration');
      else this.#decider.post({ kind: 'manifest-offered', source: 'service', manifest });
    } catch {
      this.#fail('configuration');
    }
  }

  /** Reads the list now, whatever was read before, and posts it. */
  async fetchList(): Promise<void> {
    try {
      const list = await this.#client.readList(this.#stop.signal);
      if (list === null) this.#fail('list');
      else this.#decider.post({ kind: 'list-offered', source: 'service', list });
    } catch {
      this.#fail('list');
    }
  }

  /** Starts the watches again: their connections may not have lived through a pause. */
  restart(): void {
    this.#watchers.forEach((watcher) => watcher.restart());
  }

  /** Stops watching and closes the connections. */
  async stop(): Promise<void> {
    this.#stop.abort();
    this.#watchers.forEach((watcher) => watcher.stop());
    await this.#client.close();
  }

  #fail(part: Part): void {
    this.#post({ kind: 'platform-failed', part });
  }

  #post(message: Message): void {
    if (!this.#stop.signal.aborted) this.#decider.post(message);
  }

  /** Resolves with true when the answer was newer than what is known. */
  async #watchManifest(signal: AbortSignal): Promise<boolean> {
    const after = highestKnownRevision(this.#decider.core.table);
    const manifest = await this.#client.watchManifest(after, signal);
    if (manifest === null) this.#post({ kind: 'platform-unchanged', part: 'configuration' });
    else this.#post({ kind: 'manifest-offered', source: 'service', manifest });
    return manifest !== null && manifest.revision > after;
  }

  async #watchList(signal: AbortSignal): Promise<boolean> {
    const after = this.#decider.core.membership.list?.revision ?? -1;
    const list = await this.#client.watchList(after, signal);
    if (list === null) this.#post({ kind: 'platform-unchanged', part: 'list' });
    else this.#post({ kind: 'list-offered', source: 'service', list });
    return list !== null && list.revision > after;
  }
}
