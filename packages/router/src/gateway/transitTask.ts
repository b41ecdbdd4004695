import {
  chooseTransitPeer,
  configurationVersion,
  MAX_PEER_SILENCE_MS,
  type TransitPeer,
} from '@filbertlatch/core';

import type { ContactTask } from './contactTask.js';
import { EndpointConnections } from './endpointConnections.js';
import type { GatewayState } from './gatewayState.js';
import type { LoopDelay } from './loopDelay.js';
import type { PeerLinks } from './peerLinks.js';

/** Peers to which one request is sent, one after the other, while they refuse it. */
const MAX_TRIED_PEERS = 3;

/** Connections to one peer; they are opened when needed and closed when idle. */
const MAX_CONNECTIONS = 256;

/** Chooses the VMs that carry requests for this one, and owns the connections to them. */
export class TransitTask {
  readonly #state: GatewayState;

  readonly #contacts: Pick<ContactTask, 'isLost'>;

  readonly #loopDelay: LoopDelay;

  readonly #links: Pick<PeerLinks, 'isPrompt'>;

  /** By control address. */
  readonly #connections = new Map<string, EndpointConnections>();

  /** Open requests by VM id. */
  readonly #openRequests = new Map<string, number>();

  constructor(
    state: GatewayState,
    contacts: Pick<ContactTask, 'isLost'>,
    loopDelay: LoopDelay,
    links: Pick<PeerLinks, 'isPrompt'>,
  ) {
    this.#state = state;
    this.#contacts = contacts;
    this.#loopDelay = loopDelay;
    this.#links = links;
  }

  /**
   * Chooses the VM by way of which a request goes; undefined when it goes directly, or no peer is
   * in touch. `tried` are the VM ids of those that refused it.
   */
  choosePeer(serviceId: string, tried: ReadonlySet<string>): TransitPeer | undefined {
    if (!this.#contacts.isLost(serviceId) || tried.size >= MAX_TRIED_PEERS) return undefined;
    const { contacts, random, routing, zone } = this.#state;
    const choice = {
      serviceId,
      zone,
      tried,
      random,
      configurationVersion: configurationVersion(routing),
      isPrompt: (peerId: string) => this.#links.isPrompt(peerId),
      ownTransits: (peerId: string) => this.#openRequests.get(peerId) ?? 0,
    };
    return chooseTransitPeer(contacts, choice, this.#loopDelay.listenedSince(MAX_PEER_SILENCE_MS));
  }

  /** Says whether a request that goes to a peer arrives in time. */
  isPrompt(peerId: string): boolean {
    return this.#links.isPrompt(peerId);
  }

  /** Returns the connections to a peer. */
  getConnections(address: string): EndpointConnections {
    let connections = this.#connections.get(address);
    if (connections === undefined) {
      connections = new EndpointConnections(address, MAX_CONNECTIONS);
      this.#connections.set(address, connections);
    }
    return connections;
  }

  /** Counts a request that is sent to a peer. */
  begin(peerId: string): void {
    this.#openRequests.set(peerId, (this.#openRequests.get(peerId) ?? 0) + 1);
  }

  /** Counts the end of a request that was sent to a peer. */
  end(peerId: string): void {
    const open = (this.#openRequests.get(peerId) ?? 0) - 1;
    if (open > 0) this.#openRequests.set(peerId, open);
    else this.#openRequests.delete(peerId);
  }

  /** Closes the connections to VMs that are no longer known. */
  closeRemoved(): void {
    const known = new Set([...this.#state.peers.values()].map(({ address }) => address));
    this.#connections.forEach((connections, address) => {
      if (known.has(address)) return;
      connections.close();
      this.#connections.delete(address);
    });
  }

  /** Closes all connections after their requests. */
  stop(): void {
    this.#connections.forEach((connections) => connections.close());
    this.#connections.clear();
  }
}
