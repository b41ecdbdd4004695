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
import { LongPoller } from './longPoller.js';

/** A service of the platform that is polled. */
type Part = 'configuration' | 'list';

/** Long-polls the configuration service and the list of VMs and posts what they publish. */
export class PlatformTask {
  readonly #decider: Decider;

  readonly #client: PlatformClient;

  readonly #pollers: readonly LongPoller[];

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
    this.#pollers = [
      new LongPoller(
        (signal) => this.#pollManifest(signal),
        () => this.#postFailure('configuration'),
        random,
        isActive,
      ),
      new LongPoller(
        (signal) => this.#pollList(signal),
        () => this.#postFailure('list'),
        random,
        isActive,
      ),
    ];
  }

  /** Starts the long polls. */
  start(): void {
    this.#pollers.forEach((poller) => {
      void poller.run();
    });
  }

  /** Reads a sheet and posts it, or that it is missing. */
  async fetchSheet({ sheet }: ActionOf<'fetch-sheet'>): Promise<void> {
    try {
      const { text, digest } = await this.#client.readSheet(sheet);
      this.#decider.post({ kind: 'sheet-offered', source: 'service', sheet, digest, text });
    } catch {
      this.#decider.post({ kind: 'sheet-missing', source: 'service', sheet });
    }
  }

  /** Reads the current manifest, even a revision already read, and posts it. */
  async fetchManifest(): Promise<void> {
    try {
      const manifest = await this.#client.readManifest(this.#stop.signal);
      if (manifest === null) this.#postFailure('configuration');
      else this.#decider.post({ kind: 'manifest-offered', source: 'service', manifest });
    } catch {
      this.#postFailure('configuration');
    }
  }

  /** Reads the current list of VMs, even a revision already read, and posts it. */
  async fetchList(): Promise<void> {
    try {
      const list = await this.#client.readList(this.#stop.signal);
      if (list === null) this.#postFailure('list');
      else this.#decider.post({ kind: 'list-offered', source: 'service', list });
    } catch {
      this.#postFailure('list');
    }
  }

  /** Restarts the long polls, whose connections may be dead after a pause of the process. */
  restart(): void {
    this.#pollers.forEach((poller) => poller.restart());
  }

  /** Stops the long polls and closes the connections. */
  async stop(): Promise<void> {
    this.#stop.abort();
    this.#pollers.forEach((poller) => poller.stop());
    await this.#client.close();
  }

  #postFailure(part: Part): void {
    this.#post({ kind: 'platform-failed', part });
  }

  #post(message: Message): void {
    if (!this.#stop.signal.aborted) this.#decider.post(message);
  }

  /** Resolves with true when the response is newer than the highest known revision. */
  async #pollManifest(signal: AbortSignal): Promise<boolean> {
    const after = highestKnownRevision(this.#decider.core.table);
    const manifest = await this.#client.watchManifest(after, signal);
    if (manifest === null) this.#post({ kind: 'platform-unchanged', part: 'configuration' });
    else this.#post({ kind: 'manifest-offered', source: 'service', manifest });
    return manifest !== null && manifest.revision > after;
  }

  async #pollList(signal: AbortSignal): Promise<boolean> {
    const after = this.#decider.core.membership.list?.revision ?? -1;
    const list = await this.#client.watchList(after, signal);
    if (list === null) this.#post({ kind: 'platform-unchanged', part: 'list' });
    else this.#post({ kind: 'list-offered', source: 'service', list });
    return list !== null && list.revision > after;
  }
}
