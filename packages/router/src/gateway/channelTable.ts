import type { RegisteredEndpoint } from '@filbertlatch/core';

import { EndpointChannels } from './endpointChannels.js';

/** Fewest connections that a VM may open to one endpoint. */
const LEAST_CONNECTIONS = 4;

/** Part of an endpoint's connections that the VMs divide; the rest is left for health checks. */
const USED_PART = 0.85;

interface Entry {
  readonly address: string;
  readonly startedAt: number | null;
  readonly channels: EndpointChannels;
}

/** Owns the connections to all endpoints. */
export class ChannelTable {
  readonly #entries = new Map<string, Entry>();

  /** Returns the channels of an endpoint's present lifetime. */
  channelsOf(endpoint: RegisteredEndpoint, maxConnections: number, vms: number): EndpointChannels {
    const entry = this.#entries.get(endpoint.id);
    const isSame = entry?.address === endpoint.address && entry.startedAt === endpoint.startedAt;
    if (entry !== undefined && isSame) return entry.channels;
    entry?.channels.close();
    const connections = Math.floor((maxConnections * USED_PART) / vms);
    const channels = new EndpointChannels(
      endpoint.address,
      Math.max(LEAST_CONNECTIONS, connections),
    );
    const { address, startedAt } = endpoint;
    this.#entries.set(endpoint.id, { address, startedAt, channels });
    return channels;
  }

  /** Moves new requests to new connections: the open ones may be dead. */
  renew(endpointId: string): void {
    this.#entries.get(endpointId)?.channels.renew();
  }

  /** Closes the connections to endpoints that are gone. */
  forget(isKnown: (endpointId: string) => boolean): void {
    this.#entries.forEach(({ channels }, id) => {
      if (isKnown(id)) return;
      channels.close();
      this.#entries.delete(id);
    });
  }
}
