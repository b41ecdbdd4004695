import { createSocket, type Socket } from 'node:dgram';

import {
  configurationVersion,
  learnCrashes,
  learnPeerWork,
  learnReads,
  takeUntold,
  type PartRead,
} from '@filbertlatch/core';
import {
  JSONRPCClient,
  JSONRPCServer,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import { Agent } from 'undici';

import { now } from '../clock.js';
import { splitAddress } from './address.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import {
  gossipMessageSchema,
  extractCrashes,
  extractReads,
  extractWork,
  createGossipMessage,
  type GossipMessage,
} from './gossipMessage.js';
import type { GatewaySettings } from './settings.js';

/** Pause between two messages to the same peers. */
const GOSSIP_INTERVAL_MS = 100;

/** Most peers told at a time; a larger fleet tells another part each time. */
const GOSSIP_FANOUT = 16;

/** Longest wait for what a peer has of the publication. */
const PUBLICATION_FETCH_TIMEOUT_MS = 800;

/** A change reaches all VMs from the store within this time, as a rule. */
const STORE_PROPAGATION_MS = 250;

/** A peer that has told nothing for so long is forgotten. */
const PEER_EXPIRY_MS = 30_000;

/** Part of the messages that go to the seeds too, so that parted halves of a fleet meet again. */
const SEED_PROBABILITY = 0.2;

/** What a peer gives to one that cannot read the store. */
export interface PeerPublication {
  readonly configurationText: string | null;
  readonly directoryRevision: number;
  /** Entries as this VM holds them. */
  readonly endpoints: readonly unknown[];
}

/** Takes in what a peer has of the publication. */
export interface PublicationReceiver {
  readonly isConnected: boolean;
  offerConfiguration(text: string, source: string): void;
  offerEndpoints(endpoints: readonly unknown[], revision: number, source: string): void;
}

/** The task that owns the calls to and from other VMs: news by datagram, the rest by request. */
export class PeerTask {
  readonly #settings: GatewaySettings;

  readonly #state: GatewayState;

  readonly #receiver: PublicationReceiver;

  readonly #log: GatewayLog;

  readonly #agent = new Agent({
    connections: 1,
    connect: { timeout: PUBLICATION_FETCH_TIMEOUT_MS },
  });

  readonly #server = new JSONRPCServer();

  readonly #fetching = new Set<string>();

  /** Instant at which the first peer was ahead of this VM; null while none is. */
  #behindSince: number | null = null;

  #socket: Socket | null = null;

  #timer: NodeJS.Timeout | null = null;

  #seeds: readonly string[];

  constructor(
    settings: GatewaySettings,
    state: GatewayState,
    taker: PublicationReceiver,
    log: GatewayLog,
  ) {
    this.#settings = settings;
    this.#state = state;
    this.#receiver = taker;
    this.#log = log;
    this.#seeds = settings.seeds;
    this.#server.addMethod('news', (params: unknown) => this.#handleMessage(params));
    this.#server.addMethod('publication', () => this.#createPublication());
  }

  /** Answers a peer's call. */
  async handleCall(call: JSONRPCRequest): Promise<JSONRPCResponse | null> {
    return this.#server.receive(call);
  }

  /** Starts to tell and to listen. */
  start(): void {
    const { host, port } = splitAddress(this.#settings.listen.control);
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (bytes) => this.#handleDatagram(bytes));
    this.#socket.on('error', (error) => {
      this.#log.warn('peer_socket_failed', { error: error.message });
    });
    this.#socket.bind(port, host);
    this.#timer = setInterval(() => this.gossip(), GOSSIP_INTERVAL_MS);
  }

  /** Uses other seeds from now on. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Tells the peers what this VM knows and does. */
  gossip(): void {
    const reads = takeUntold(this.#state.scheduling.caches);
    this.#send(this.#createMessage(reads), this.#chooseTargets());
  }

  /** Stops telling and closes the sockets. */
  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#socket?.close();
    this.#socket = null;
    void this.#agent.destroy();
  }

  #send(params: GossipMessage, addresses: readonly string[]): void {
    const message = JSON.stringify({ jsonrpc: '2.0', method: 'news', params });
    addresses.forEach((address) => {
      const { host, port } = splitAddress(address);
      // A datagram that cannot be sent is as good as lost; the next one tells the same.
      this.#socket?.send(message, port, host, () => {});
    });
  }

  #chooseTargets(): string[] {
    const { peers, random } = this.#state;
    const own = this.#settings.listen.control;
    const known = [...peers.values()].map(({ address }) => address);
    const withSeeds = known.length === 0 || random.next() < SEED_PROBABILITY;
    const all = new Set(withSeeds ? [...known, ...this.#seeds] : known);
    all.delete(own);
    const targets = [...all];
    if (targets.length <= GOSSIP_FANOUT) return targets;
    const first = Math.floor(random.next() * targets.length);
    return [...targets.slice(first), ...targets.slice(0, first)].slice(0, GOSSIP_FANOUT);
  }

  #createMessage(reads: readonly PartRead[] = []): GossipMessage {
    const sender = {
      address: this.#settings.listen.control,
      hasStore: this.#receiver.isConnected,
      reads,
    };
    return createGossipMessage(this.#state, sender, now());
  }

  #handleDatagram(bytes: Buffer): void {
    void this.#server.receiveJSON(bytes.toString('utf8'));
  }

  #handleMessage(params: unknown): void {
    const checked = gossipMessageSchema.safeParse(params);
    if (!checked.success) {
      const paths = checked.error.issues.map(({ path }) => path.join('.'));
      this.#log.decision('peer_news_unreadable', { paths });
      return;
    }
    const news = checked.data;
    const { vmId, peers, scheduling, suspects } = this.#state;
    if (news.vmId === vmId) return;
    const instant = now();
    if (!peers.has(news.vmId)) this.#log.change('peer_found', { peer: news.vmId });
    peers.set(news.vmId, {
      address: news.address,
      heardAt: instant,
      configurationVersion: news.configurationVersion,
      directoryRevision: news.directoryRevision,
      hasStore: news.hasStore,
    });
    this.#removeExpiredPeers(instant);
    learnPeerWork(scheduling, news.vmId, extractWork(news, instant));
    learnReads(scheduling.caches, extractReads(news), instant);
    learnCrashes(suspects, extractCrashes(news), instant);
    this.#gossipToUnknownMember(news.members);
    this.#fetchIfBehind(news);
  }

  #removeExpiredPeers(instant: number): void {
    this.#state.peers.forEach(({ heardAt }, id) => {
      if (instant - heardAt > PEER_EXPIRY_MS) this.#state.peers.delete(id);
    });
  }

  /** Tells VMs that only others have heard of. */
  #gossipToUnknownMember(members: readonly string[]): void {
    const known = new Set([...this.#state.peers.values()].map(({ address }) => address));
    const stranger = members.find(
      (address) => !known.has(address) && address !== this.#settings.listen.control,
    );
    if (stranger !== undefined) this.#send(this.#createMessage(), [stranger]);
  }

  /** Asks a peer that has something newer which this VM cannot read itself soon. */
  #fetchIfBehind(news: GossipMessage): void {
    const { routing, directory } = this.#state;
    const isConfigurationBehind = news.configurationVersion > configurationVersion(routing);
    const isDirectoryBehind =
      !this.#receiver.isConnected && news.hasStore && news.directoryRevision > directory.revision;
    if (!isConfigurationBehind && !isDirectoryBehind) {
      this.#behindSince = null;
      return;
    }
    this.#behindSince ??= now();
    const isStoreExpectedSooner =
      this.#receiver.isConnected && now() - this.#behindSince < STORE_PROPAGATION_MS;
    if (isStoreExpectedSooner || this.#fetching.has(news.vmId)) return;
    this.#fetching.add(news.vmId);
    void this.#fetchPublication(news).finally(() => this.#fetching.delete(news.vmId));
  }

  async #fetchPublication({ vmId, address }: GossipMessage): Promise<void> {
    try {
      const client: JSONRPCClient = new JSONRPCClient(async (payload) => {
        const { body } = await this.#agent.request({
          origin: `http://${address}`,
          path: '/rpc',
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(payload),
          signal: AbortSignal.timeout(PUBLICATION_FETCH_TIMEOUT_MS),
        });
        client.receive((await body.json()) as never);
      });
      const found = (await client.request('publication', {})) as PeerPublication;
      if (found.configurationText !== null) {
        this.#receiver.offerConfiguration(found.configurationText, vmId);
      }
      this.#receiver.offerEndpoints(found.endpoints, found.directoryRevision, vmId);
    } catch (error) {
      this.#log.warn('peer_unavailable', { peer: vmId, error: String(error) });
    }
  }

  #createPublication(): PeerPublication {
    const { configurationText, directory } = this.#state;
    return {
      configurationText,
      directoryRevision: directory.revision,
      endpoints: [...directory.endpoints.values()],
    };
  }
}
