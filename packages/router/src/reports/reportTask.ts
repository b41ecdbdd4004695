import { countLiveVms, listActiveEndpoints, type Endpoint } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { Decider } from '../decider/index.js';
import { ReportClient } from './reportClient.js';

/** Time between turns; each reads at most one engine, so the cost doesn't grow with the fleet. */
const READ_INTERVAL_MS = 100;

/** Larger fleets read reports less often, to leave the control traffic to heartbeats. */
const MAX_SMALL_FLEET_VMS = 32;

/** Turns per read in a large fleet. */
const LARGE_FLEET_TURNS_PER_READ = 10;

/** Shortest time between two reads of the same engine. */
const MIN_ENGINE_INTERVAL_MS = 500;

type Engine = Extract<Endpoint, { kind: 'engine' }>;

/** Progress of reading one engine. */
interface Reading {
  /** Epoch milliseconds; 0 before the first read. */
  readAt: number;
  /** Sequence number of the last cache event read; -1 before the first. */
  cacheSequence: number;
}

/** Reads load reports and cache events of active and managed engines, one engine per turn. */
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

  /** Starts reading. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#turn += 1;
      if (this.#isReadDue()) void this.#readNext();
    }, READ_INTERVAL_MS);
  }

  /** Probes an ejected endpoint over a new connection and posts the result. */
  async probe(endpoint: Endpoint): Promise<void> {
    const healthy = await this.#client.probe(endpoint);
    this.#decider.post({ kind: 'probe-ended', endpointId: endpoint.id, healthy });
  }

  /** Stops reading and closes the connections. */
  async stop(): Promise<void> {
    if (this.#timer !== null) clearInterval(this.#timer);
    await this.#client.close();
  }

  #isReadDue(): boolean {
    const isSmall = countLiveVms(this.#decider.core.membership) <= MAX_SMALL_FLEET_VMS;
    return isSmall || this.#turn % LARGE_FLEET_TURNS_PER_READ === 0;
  }

  /** Alternates active and managed engines, so that many managed ones can't delay the active. */
  #chooseNext(): Engine | undefined {
    const { core } = this.#decider;
    const managed = core.table.view?.managed ?? [];
    this.#isManagedNext = !this.#isManagedNext;
    if (managed.length === 0 || this.#isManagedNext) {
      return this.#chooseLeastRecentlyRead(listActiveEndpoints(core.placement, now()));
    }
    return this.#chooseLeastRecentlyRead(managed.map((engine) => engine.id));
  }

  #chooseLeastRecentlyRead(ids: Iterable<string>): Engine | undefined {
    const { core } = this.#decider;
    const latest = now() - MIN_ENGINE_INTERVAL_MS;
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
      this.#client.readCacheEvents(engine, reading.cacheSequence),
    ]);
    if (report !== null) this.#decider.post({ kind: 'load-reported', report });
    for (const event of events) {
      reading.cacheSequence = Math.max(reading.cacheSequence, event.sequence);
      this.#decider.post({ kind: 'cache-changed', event });
    }
  }
}
