import {
  forgetFailures,
  lastPeerContactAt,
  resetEndpointHealth,
  silenceOf,
  type RegisteredEndpoint,
  type ServiceSilence,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { ConnectionTable } from './connectionTable.js';
import type { EndDoubts } from './endDoubts.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { GatewayState } from './gatewayState.js';

/** After a shorter loss, connections and health records are kept. */
const MIN_RENEWED_LOSS_MS = 300;

/** What a service's regained contact ends. */
export interface EndedLoss {
  /** Time of the loss, in epoch milliseconds. */
  readonly lostAt: number;
  /** The silence that the loss was part of; null without one. */
  readonly silence: ServiceSilence | null;
  /** True when peers heard the service meanwhile. */
  readonly wasCutOff: boolean;
}

/** Acts on changes of the contact with a service: reports them, and clears what they explain. */
export class ContactChanges {
  readonly #state: GatewayState;

  readonly #connections: ConnectionTable;

  readonly #doubts: EndDoubts;

  readonly #metrics: GatewayMetrics;

  readonly #log: GatewayLog;

  readonly #notifyPeers: () => void;

  constructor(
    state: GatewayState,
    connections: ConnectionTable,
    doubts: EndDoubts,
    metrics: GatewayMetrics,
    log: GatewayLog,
    notifyPeers: () => void,
  ) {
    this.#state = state;
    this.#connections = connections;
    this.#doubts = doubts;
    this.#metrics = metrics;
    this.#log = log;
    this.#notifyPeers = notifyPeers;
  }

  /** Handles the begin of a silence or a loss; `endpoints` is the number of ready ones. */
  begin(change: 'silent' | 'lost', serviceId: string, endpoints: number): void {
    const { contacts } = this.#state;
    const peerContactAt = lastPeerContactAt(contacts, serviceId);
    // Tells a silence of endpoints from one of links: peers hear them, or don't.
    const peerHeardMs = peerContactAt === 0 ? null : Math.round(now() - peerContactAt);
    const isSilent = silenceOf(contacts, serviceId) !== null;
    this.#metrics.countContactChange(change);
    this.#log.change(`service_${change}`, { serviceId, endpoints, peerHeardMs, isSilent });
    if (change === 'lost') this.#notifyPeers();
  }

  /** Handles the end of a loss. */
  regain(serviceId: string, { lostAt, silence, wasCutOff }: EndedLoss): void {
    const lostMs = Math.round(now() - lostAt);
    this.#metrics.countContactChange('regained');
    this.#log.change('service_regained', { serviceId, lostMs, wasCutOff });
    this.#notifyPeers();
    if (lostMs >= MIN_RENEWED_LOSS_MS) {
      this.#listEndpoints(serviceId).forEach(({ id }) => {
        if (wasCutOff) resetEndpointHealth(this.#state.health, id);
        // Connections outlive a silence of endpoints.
        if (wasCutOff || silence === null) this.#connections.renew(id);
      });
    }
    if (wasCutOff) this.#doubts.forget(serviceId);
  }

  /** Handles the end of a silence: endpoints that were silent together have not failed. */
  endSilence(serviceId: string, { heardAt, since, unreachable }: ServiceSilence): void {
    this.#metrics.countContactChange('heard');
    this.#log.change('service_heard', { serviceId, silentMs: Math.round(now() - since) });
    this.#listEndpoints(serviceId).forEach(({ id }) => {
      if (!unreachable.has(id)) forgetFailures(this.#state.health, id, heardAt);
    });
    this.#doubts.probe(serviceId);
  }

  #listEndpoints(serviceId: string): RegisteredEndpoint[] {
    const { endpoints } = this.#state.directory;
    return [...endpoints.values()].filter((endpoint) => endpoint.serviceId === serviceId);
  }
}
