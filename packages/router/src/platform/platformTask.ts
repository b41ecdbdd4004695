import type { ActionOf } from '@filbertlatch/core';

import type { Decider } from '../decider/index.js';
import type { ControlTraffic } from '../metrics/index.js';
import type { Settings } from '../settings/index.js';
import { PlatformClient } from './platformClient.js';
import { Watcher } from './watcher.js';

/** The task that watches the configuration service and the list of VMs. */
export class PlatformTask {
  readonly #decider: Decider;

  readonly #client: PlatformClient;

  readonly #watchers: readonly Watcher[];

  #manifestRevision = -1;

  #listRevision = -1;

  constructor(settings: Settings['platform'], decider: Decider, traffic: ControlTraffic) {
    this.#decider = decider;
    this.#client = new PlatformClient(settings, traffic);
    const { random } = decider.core;
    this.#watchers = [
      new Watcher(
        (signal) => this.#pollManifest(signal),
        () => decider.post({ kind: 'platform-failed', part: 'configuration' }),
        random,
      ),
      new Watcher(
        (signal) => this.#pollList(signal),
        () => decider.post({ kind: 'platform-failed', part: 'list' }),
        random,
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

  /** Stops watching and closes the connections. */
  async stop(): Promise<void> {
    this.#watchers.forEach((watcher) => watcher.stop());
    await this.#client.close();
  }

  async #pollManifest(signal: AbortSignal): Promise<void> {
    const manifest = await this.#client.watchManifest(this.#manifestRevision, signal);
    if (manifest === null) return;
    this.#manifestRevision = manifest.revision;
    this.#decider.post({ kind: 'manifest-offered', source: 'service', manifest });
  }

  async #pollList(signal: AbortSignal): Promise<void> {
    const list = await this.#client.watchList(this.#listRevision, signal);
    if (list === null) return;
    this.#listRevision = list.revision;
    this.#decider.post({ kind: 'list-offered', list });
  }
}
