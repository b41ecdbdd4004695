import { listActiveEndpoints, type Endpoint } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { Decider } from '../decider/index.js';
import { ReportClient } from './reportClient.js';

/** Time between two readings; it bounds what reports cost, whatever the fleet's size. */
const READ_INTERVAL_MS = 100;

/** Shortest time between two readings of an engine in use. */
const USED_INTERVAL_MS = 500;

/** Shortest time between two readings of an engine whose models may change. */
const MANAGED_INTERVAL_MS = 2000;

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

  constructor(decider: Decider) {
    this.#decider = decider;
  }

  /** Starts to read. */
  start(): void {
    this.#timer = setInterval(() => {
      void this.#readNext();
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

  #chooseNext(): Endpoint | undefined {
    const { placement, table } = this.#decider.core;
    if (table.view === null) return undefined;
    const instant = now();
    let chosen: Endpoint | undefined;
    let mostOverdue = 0;
    const consider = (endpoint: Endpoint | undefined, intervalMs: number) => {
      if (endpoint?.kind !== 'engine') return;
      const readAt = this.#readings.get(endpoint.id)?.readAt ?? 0;
      const overdue = instant - readAt - intervalMs;
      if (overdue <= mostOverdue) return;
      chosen = endpoint;
      mostOverdue = overdue;
    };
    for (const id of listActiveEndpoints(placement, instant)) {
      consider(table.view.endpoints.get(id), USED_INTERVAL_MS);
    }
    table.view.managed.forEach((engine) => consider(engine, MANAGED_INTERVAL_MS));
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
