import type { RegisteredEndpoint } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { GatewayLog } from './gatewayLog.js';

/** Time after which an endpoint whose end is in doubt is probed again. */
const RECHECK_MS = 1000;

/** Endpoints that may have ended, to be probed again when their service can be reached. */
export class EndDoubts {
  readonly #log: GatewayLog;

  /** Endpoint ids by service id. */
  readonly #doubtful = new Map<string, Set<string>>();

  #recordedAt = 0;

  #probe: ((endpointId: string) => void) | null = null;

  constructor(log: GatewayLog) {
    this.#log = log;
  }

  /** Sets the callback that probes an endpoint. */
  onDue(probe: (endpointId: string) => void): void {
    this.#probe = probe;
  }

  /** Records that an endpoint may have ended. */
  record({ id, serviceId }: RegisteredEndpoint): void {
    this.#log.decision('endpoint_end_doubtful', { endpointId: id });
    const doubtful = this.#doubtful.get(serviceId) ?? new Set();
    this.#doubtful.set(serviceId, doubtful.add(id));
    this.#recordedAt = now();
  }

  /** Has the endpoints of a service probed, which can be reached. */
  probe(serviceId: string): void {
    const doubtful = this.#doubtful.get(serviceId);
    if (doubtful === undefined) return;
    this.#doubtful.delete(serviceId);
    doubtful.forEach((id) => this.#probe?.(id));
  }

  /** Has those probed that have been in doubt for long; called by the maintenance timer. */
  maintain(isReached: (serviceId: string) => boolean): void {
    if (now() - this.#recordedAt < RECHECK_MS) return;
    [...this.#doubtful.keys()].filter(isReached).forEach((serviceId) => this.probe(serviceId));
  }

  /** Forgets the endpoints of a service. */
  forget(serviceId: string): void {
    this.#doubtful.delete(serviceId);
  }
}
