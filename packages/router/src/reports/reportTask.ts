import { countLiveVms, listActiveEndpoints, type Endpoint } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { Decider } from '../decider/index.js';
import { ReportClient } from './reportClient.js';

/** Time between two readings; it bounds what reports cost, whatever the fleet's size. */
const READ_INTERVAL_MS = 100;

/** Beyond so many VMs heartbeats need the control traffic, and reports are read less often. */
const SMALL_FLEET = 32;

/** In a large fleet one interval in so many reads. */
const LARGE_FLEET_TURNS = 10;

/** Shortest time between two readings of one engine. */
const ENDPOINT_INTERVAL_MS = 500;

type Engine = Extract<Endpoint, { kind: 'engine' }>;

interface Reading {
  readAt: number;
  /** Sequence of the last cache event read. */
  cacheSequence: number;
}

/** The task that reads the load reports and cache events of the engines in use, in turn. */
export class ReportTask {
  readonly #decider: Decider;

  readonly #client = new ReportClient();

  readonly #readings = new Map<string, Reading>();

  #timer: NodeJS.Timeout | null = null;

  #turn = 0;

  #isManagedNext = false;

  constructor(decider: Decider) {
    this.#decider = decider;
  }

  /** Starts to read. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#turn += 1;
      if (this.#isDue()) void this.#readNext();
    }, READ_INTERVAL_MS);
  }

  /** Probes an ejected endpoint over a new connection and posts what came of it. */
  async probe(endpoint: Endpoint): Promise<void> {
    const healthy = await this.#client.probe(endpoint);
    this.#decider.post({ kind: 'probe-ended', endpointId: endpoint.id, healthy });
  }

  /** Stops reading and closes the connections. */
  async stop(): Promise<void> {
    if (this.#timer !== null) clearInterval(this.#timer);
    await this.#client.close();
  }

  #isDue(): boolean {
    const isSmall = countLiveVms(this.#decider.core.membership) <= SMALL_FLEET;
    return isSmall || this.#turn % LARGE_FLEET_TURNS === 0;
  }

  /** Takes turns: engines in use stay fresh however many engines the fleet manages. */
  #chooseNext(): Engine | undefined {
    const { core } = this.#decider;
    const managed = core.table.view?.managed ?? [];
    this.#isManagedNext = !this.#isManagedNext;
    if (managed.length === 0 || this.#isManagedNext) {
      return this.#chooseOldest(listActiveEndpoints(core.placement, now()));
    }
    return this.#chooseOldest(managed.map((engine) => engine.id));
  }

  #chooseOldest(ids: Iterable<string>): Engine | undefined {
    const { core } = this.#decider;
    const latest = now() - ENDPOINT_INTERVAL_MS;
    let chosen: Engine | undefined;
    let oldest = latest;
    for (const id of ids) {
      const endpoint = core.table.view?.endpoints.get(id);
      const readAt = this.#readings.get(id)?.readAt ?? 0;
      if (endpoint?.kind !== 'engine' || readAt > oldest) continue;
      chosen = endpoint;
      oldest = readAt;
    }
    return chosen;
  }

  async #readNext(): Promise<void> {
    const engine = this.#chooseNext();
    if (engine === undefined) return;
    const reading = this.#readings.get(engine.id) ?? { readAt: 0, cacheSequence: -1 };
    this.#readings.set(engine.id, reading);
    reading.readAt = now();
    const [report, events] = await Promise.all([
      this.#client.readLoad(engine),
      this.#client.readCache(engine, reading.cacheSequence),
    ]);
    if (report !== null) this.#decider.post({ kind: 'load-reported', report });
    for (const event of events) {
      reading.cacheSequence = Math.max(reading.cacheSequence, event.sequence);
      this.#decider.post({ kind: 'cache-changed', event });
    }
  }
}
