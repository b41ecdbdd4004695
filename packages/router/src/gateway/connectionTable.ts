import type { RegisteredEndpoint } from '@filbertlatch/core';

import { EndpointConnections } from './endpointConnections.js';

/** Lower bound of a VM's connection limit at one endpoint. */
const MIN_CONNECTIONS = 4;

/** Fraction of an endpoint's connections that the VMs share; the rest is left for health checks. */
const REQUEST_CONNECTION_FRACTION = 0.85;

interface ConnectionEntry {
  readonly address: string;
  readonly startedAt: number | null;
  readonly connections: EndpointConnections;
}

/** Owns the connections to all endpoints, by endpoint id. */
export class ConnectionTable {
  readonly #entries = new Map<string, ConnectionEntry>();

  readonly #earliestArrivalAt: () => number;

  #notifyContact: ((endpointId: string) => void) | null = null;

  /** `earliestArrivalAt` bounds the time at which bytes arrived that are read now. */
  constructor(earliestArrivalAt: () => number) {
    this.#earliestArrivalAt = earliestArrivalAt;
  }

  /** Sets the callback for endpoints that answer on a new connection. */
  onContact(notify: (endpointId: string) => void): void {
    this.#notifyContact = notify;
  }

  /**
   * Returns the connections to an endpoint; replaces them when it restarted or moved. New ones are
   * limited to this VM's share of `maxConnections`, the limit for all VMs together.
   */
  getConnections(
    endpoint: RegisteredEndpoint,
    maxConnections: number,
    vmCount: number,
  ): EndpointConnections {
    const entry = this.#entries.get(endpoint.id);
    const isSame = entry?.address === endpoint.address && entry.startedAt === endpoint.startedAt;
    if (entry !== undefined && isSame) return entry.connections;
    entry?.connections.close();
    const connectionLimit = Math.floor((maxConnections * REQUEST_CONNECTION_FRACTION) / vmCount);
    const connections = new EndpointConnections(
      endpoint.address,
      Math.max(MIN_CONNECTIONS, connectionLimit),
      () => this.#notifyContact?.(endpoint.id),
      this.#earliestArrivalAt,
    );
    const { address, startedAt } = endpoint;
    this.#entries.set(endpoint.id, { address, startedAt, connections });
    return connections;
  }

  /** Opens new connections for later requests, since the present ones may be dead. */
  renew(endpointId: string): void {
    this.#entries.get(endpointId)?.connections.renew();
  }

  /** Returns when bytes of an endpoint were last read; epoch milliseconds, 0 without any. */
  lastHeardAt(endpointId: string): number {
    return this.#entries.get(endpointId)?.connections.heardAt ?? 0;
  }

  /**
   * Returns a time at which an endpoint lived for certain: what is read now may have been sent before
   * a standstill of this process. Epoch milliseconds, 0 without any.
   */
  lastAliveAt(endpointId: string): number {
    return this.#entries.get(endpointId)?.connections.aliveAt ?? 0;
  }

  /** Returns when an endpoint last broke off an answer; epoch milliseconds, 0 when it never did. */
  lastBrokenAt(endpointId: string): number {
    return this.#entries.get(endpointId)?.connections.brokenAt ?? 0;
  }

  /** Closes the connections to endpoints that are no longer registered. */
  closeRemoved(isRegistered: (endpointId: string) => boolean): void {
    this.#entries.forEach(({ connections }, id) => {
      if (isRegistered(id)) return;
      connections.close();
      this.#entries.delete(id);
    });
  }
}
