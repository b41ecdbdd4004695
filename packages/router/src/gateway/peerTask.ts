import { createSocket, type Socket, type SocketOptions } from 'node:dgram';

import {
  compareEras,
  comparePositions,
  configurationVersion,
  recordBrittle,
  recordKnownSince,
  recordPeerAnswers,
  recordPeerArrivals,
  recordPeerContact,
  recordPeerCrashes,
  recordPeerDepartures,
  recordPeerFailedTrial,
  recordPeerLimits,
  recordPeerRefusals,
  recordPeerSegmentAnswers,
  recordPeerSegmentCrashes,
  recordPeerSends,
  recordPeerTrial,
  recordPeerVersions,
  recordPeerWork,
  recordPeerReads,
  takeSendReports,
  takeUnsentReads,
  type StorePosition,
} from '@filbertlatch/core';
import {
  JSONRPCClient,
  JSONRPCServer,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';

import { createBoundedAgent, readJson } from '../bounds/index.js';
import { now } from '../clock.js';
import { openAddress } from '../openAddress.js';
import { isPeerAddress, splitAddress } from './address.js';
import { ByteBudget } from './byteBudget.js';
import { extractContact, type ContactReport } from './contactNews.js';
import { bytesOnLink, compressMessage, readDatagram } from './datagram.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import {
  gossipMessageSchema,
  extractAnswers,
  extractBrittle,
  extractCrashes,
  extractDepartures,
  extractLimits,
  extractReads,
  extractRefusals,
  extractSegmentNews,
  extractSends,
  extractVersions,
  extractWork,
  createGossipMessage,
  omitEmptyLists,
  MAX_MEMBERS,
  type GossipMessage,
  type GossipSender,
} from './gossipMessage.js';
import type { GatewaySettings } from './settings.js';

/** Interval between gossip rounds. */
const GOSSIP_INTERVAL_MS = 100;

/** Maximum peers per gossip round; in a larger fleet each round starts at a random peer. */
const GOSSIP_FANOUT = 16;

/**
 * Bytes that gossip may take of the VM's link in a second, and at once. A link that is filled by it
 * delays requests and their closes; in a large fleet each message then goes to fewer peers.
 */
const GOSSIP_BYTES_PER_SECOND = 131_072;
const GOSSIP_BURST_BYTES = 65_536;
const GOSSIP_BYTES_PER_ROUND = (GOSSIP_BYTES_PER_SECOND * GOSSIP_INTERVAL_MS) / 1000;

/** Time-out for fetching the publication from a peer. */
const PUBLICATION_FETCH_TIMEOUT_MS = 800;

/** A configuration of 1 MiB with its quotes escaped, and the endpoints. */
const MAX_PUBLICATION_BYTES = 4_194_304;

/** Values in its JSON; an endpoint has some 10. */
const MAX_PUBLICATION_VALUES = 32_768;

/** Fetches at a time; what they read is held meanwhile. */
const MAX_FETCHES = 2;

/** Time within which a change usually reaches all VMs from the store. */
const STORE_PROPAGATION_MS = 250;

/** A peer is removed this long after its last message. */
const PEER_EXPIRY_MS = 30_000;

/**
 * Probability that a round includes the seeds, so that the halves of a partitioned fleet rejoin.
 */
const SEED_PROBABILITY = 0.2;

/** Time in which one VM that does not know this one is answered only once; it may hear nobody. */
const NEWCOMER_INTERVAL_MS = 1000;

/** Resolves the host of a peer, which is an address. */
const resolveAddress: SocketOptions['lookup'] = (host, _options, callback) =>
  callback(null, host, 4);

/** Configuration and endpoints as a peer hands them to a VM that lacks them. */
export interface PeerPublication {
  readonly configurationText: string | null;
  readonly directoryRevision: number;
  /** Era of the store to which the revision belongs; absent in messages of older software. */
  readonly storeEra?: number | null;
  /** Era in which the configuration is in force; absent in messages of older software. */
  readonly configurationEra?: number | null;
  /** Endpoints registered at the peer; not validated. */
  readonly endpoints: readonly unknown[];
}

/** Accepts configuration and endpoints fetched from a peer. */
export interface PublicationReceiver {
  /** True while this VM can reach the store. */
  readonly isConnected: boolean;
  /** Time up to which the endpoints in the store are known; epoch milliseconds, 0 for none. */
  readonly endpointsReadAt: number;
  /** Adopts a configuration if it is valid and newer; `source` is logged. */
  offerConfiguration(text: string, era: number | null, source: string): void;
  /** Adopts endpoints if the store is unreachable and they are newer; `source` is logged. */
  offerEndpoints(endpoints: readonly unknown[], position: StorePosition, source: string): void;
}

function positionOf(
  message: Pick<PeerPublication, 'directoryRevision' | 'storeEra'>,
): StorePosition {
  return { era: message.storeEra ?? null, revision: message.directoryRevision };
}

/** Communicates with the other VMs: gossip over UDP, fetches of the publication over HTTP. */
export class PeerTask {
  readonly #settings: GatewaySettings;

  readonly #state: GatewayState;

  readonly #receiver: PublicationReceiver;

  readonly #log: GatewayLog;

  readonly #agent = createBoundedAgent({
    connections: 1,
    connect: { timeout: PUBLICATION_FETCH_TIMEOUT_MS },
    headersTimeout: PUBLICATION_FETCH_TIMEOUT_MS,
    bodyTimeout: PUBLICATION_FETCH_TIMEOUT_MS,
    maxResponseSize: MAX_PUBLICATION_BYTES,
  });

  readonly #server = new JSONRPCServer();

  readonly #fetching = new Set<string>();

  readonly #budget = new ByteBudget(GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES, now());

  /** Bytes of the latest gossip message on a link. */
  #latestBytes = 0;

  /** Instant of the first message with newer data than this VM has; null after one without. */
  #behindSince: number | null = null;

  /** Bounds the time at which a message arrived that is read now. */
  readonly #earliestArrivalAt: () => number;

  /** Instants at which VMs that did not know this one were answered, by control address. */
  readonly #answeredAt = new Map<string, number>();

  /** Bound to the address of this VM; null before. */
  #socket: Socket | null = null;

  readonly #stopped = new AbortController();

  #timer: NodeJS.Timeout | null = null;

  /** True when a round has been sent early since the last one of the timer. */
  #hasEarlyRound = false;

  #reportContact: (() => ContactReport) | null = null;

  #notifyFound: ((address: string) => void) | null = null;

  #notifyVersions: ((serviceIds: readonly string[]) => void) | null = null;

  #seeds: readonly string[];

  constructor(
    settings: GatewaySettings,
    state: GatewayState,
    receiver: PublicationReceiver,
    log: GatewayLog,
    earliestArrivalAt: () => number = now,
  ) {
    this.#settings = settings;
    this.#earliestArrivalAt = earliestArrivalAt;
    this.#state = state;
    this.#receiver = receiver;
    this.#log = log;
    this.#seeds = settings.seeds;
    this.#server.addMethod('news', (params: unknown) => this.#handleMessage(params));
    this.#server.addMethod('publication', () => this.#createPublication());
  }

  /** Handles a peer's JSON-RPC call. */
  async handleCall(call: JSONRPCRequest): Promise<JSONRPCResponse | null> {
    return this.#server.receive(call);
  }

  /** Starts to gossip and to listen. */
  start(): void {
    const { host, port } = splitAddress(this.#settings.listen.control);
    const socket = createSocket({ type: 'udp4', lookup: resolveAddress });
    socket.on('message', (bytes) => this.#handleDatagram(bytes));
    // A message that is sent before would bind it to any port.
    socket.on('listening', () => {
      this.#socket = socket;
    });
    socket.on('error', (error) => {
      if (this.#socket !== null) this.#log.warn('peer_socket_failed', { error: error.message });
    });
    this.#stopped.signal.addEventListener('abort', () => socket.close());
    openAddress(socket, () => socket.bind(port, host), {
      address: `udp ${this.address}`,
      report: (event, fields) => this.#log.warn(event, { ...fields }),
      signal: this.#stopped.signal,
    }).catch((error: unknown) => {
      if (!this.#stopped.signal.aborted) {
        this.#log.warn('peer_socket_failed', { error: String(error) });
      }
    });
    this.#timer = setInterval(() => {
      this.#hasEarlyRound = false;
      this.gossip();
    }, GOSSIP_INTERVAL_MS);
  }

  /** Replaces the seeds. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Control address of this VM. */
  get address(): string {
    return this.#settings.listen.control;
  }

  /** True while this VM can reach the store. */
  get hasStore(): boolean {
    return this.#receiver.isConnected;
  }

  /** Time up to which the endpoints in the store are known; epoch milliseconds, 0 for none. */
  get endpointsReadAt(): number {
    return this.#receiver.endpointsReadAt;
  }

  /** Sets the handler of a kind of message; its parameters are not validated. */
  onMessage(method: string, handle: (params: unknown) => void): void {
    this.#server.addMethod(method, (params: unknown) => handle(params));
  }

  /** Sends a message to VMs by their control addresses; it may be lost. */
  sendMessage(method: string, params: object, addresses: readonly string[]): void {
    const message = JSON.stringify({ jsonrpc: '2.0', method, params });
    addresses.forEach((address) => {
      const { host, port } = splitAddress(address);
      this.#socket?.send(message, port, host, () => {});
    });
  }

  /** Sets the source of what this VM tells of its links. */
  setContactReport(report: () => ContactReport): void {
    this.#reportContact = report;
  }

  /** Sets the callback for services that have several versions by what a peer tells. */
  onSeveralVersions(notify: (serviceIds: readonly string[]) => void): void {
    this.#notifyVersions = notify;
  }

  /** Sets the callback for the first message of a peer; gets its control address. */
  onPeerFound(notify: (address: string) => void): void {
    this.#notifyFound = notify;
  }

  /** Sends this VM's state to its peers, and to further addresses. */
  gossip(further: readonly string[] = []): void {
    // What is told once stays until there is room for a message.
    if (!this.#budget.has(this.#latestBytes, now())) return;
    const { scheduling, requestLimits } = this.#state;
    const reads = takeUnsentReads(scheduling.prefixCaches);
    const limitedSends = takeSendReports(requestLimits);
    const targets = new Set([...further, ...this.#chooseTargets()]);
    this.#send(this.#createMessage({ reads, limitedSends }), [...targets]);
  }

  /**
   * Gossips at the end of this turn of the event loop, at most once between two rounds: news that change
   * what peers send, and may come in numbers.
   */
  gossipEarly(): void {
    if (this.#hasEarlyRound) return;
    this.#hasEarlyRound = true;
    setImmediate(() => this.gossip());
  }

  /** Stops gossiping and closes the sockets. */
  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#socket = null;
    this.#stopped.abort();
    void this.#agent.destroy();
  }

  // A failed send is treated like a lost datagram: the next message repeats the state.
  #send(params: GossipMessage, addresses: readonly string[]): void {
    const plain = Buffer.from(
      JSON.stringify({ jsonrpc: '2.0', method: 'news', params: omitEmptyLists(params) }),
    );
    // A compressed message takes its reader twice the time.
    const mustCompress = addresses.length * bytesOnLink(plain) > GOSSIP_BYTES_PER_ROUND;
    const compressed = mustCompress ? compressMessage(plain) : null;
    const readers = this.#listReaders();
    for (const address of addresses) {
      const message = compressed !== null && readers.has(address) ? compressed : plain;
      this.#latestBytes = bytesOnLink(message);
      if (!this.#budget.take(this.#latestBytes, now())) return;
      const { host, port } = splitAddress(address);
      this.#socket?.send(message, port, host, () => {});
    }
  }

  /** Returns the control addresses of the peers that read compressed messages. */
  #listReaders(): Set<string> {
    const readers = [...this.#state.peers.values()].filter((peer) => peer.readsCompressed);
    return new Set(readers.map(({ address }) => address));
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

  #createMessage(
    unsent: Pick<GossipSender, 'reads' | 'limitedSends'> = { reads: [], limitedSends: [] },
  ): GossipMessage {
    const sender = {
      address: this.#settings.listen.control,
      hasStore: this.#receiver.isConnected,
      ...(this.#reportContact === null ? {} : { contact: this.#reportContact() }),
      ...unsent,
    };
    return createGossipMessage(this.#state, sender, now());
  }

  #handleDatagram(bytes: Buffer): void {
    const warn = (error: unknown) => {
      this.#log.warn('peer_message_failed', { error: String(error) });
    };
    try {
      this.#server.receiveJSON(readDatagram(bytes)).then(undefined, warn);
    } catch (error) {
      warn(error);
    }
  }

  #handleMessage(params: unknown): void {
    const checked = gossipMessageSchema.safeParse(params);
    if (!checked.success) {
      const paths = checked.error.issues.map(({ path }) => path.join('.'));
      this.#log.decision('peer_news_unreadable', { paths });
      return;
    }
    const message = checked.data;
    const { contacts, vmId, peers, scheduling, suspects } = this.#state;
    if (message.vmId === vmId) return;
    const instant = now();
    const isNew = !peers.has(message.vmId);
    if (isNew) this.#log.change('peer_found', { peer: message.vmId });
    peers.set(message.vmId, {
      address: message.address,
      heardAt: instant,
      configurationVersion: message.configurationVersion,
      directoryRevision: message.directoryRevision,
      hasStore: message.hasStore,
      readsCompressed: message.readsCompressed,
      answersPings: message.answersPings,
    });
    this.#removeExpiredPeers(instant);
    const arrivedAt = Math.min(instant, this.#earliestArrivalAt());
    const contact = extractContact(message.contact, message, { heardAt: instant, arrivedAt });
    if (contact !== null) recordPeerContact(contacts, message.vmId, contact);
    extractBrittle(message, instant).forEach(({ serviceId, brittleness, seenAt }) => {
      recordBrittle(this.#state.brittleness, serviceId, brittleness, seenAt);
    });
    recordPeerWork(scheduling, message.vmId, extractWork(message, instant));
    recordPeerReads(scheduling.prefixCaches, extractReads(message), instant);
    recordPeerCrashes(suspects, extractCrashes(message), instant);
    recordPeerRefusals(suspects, extractRefusals(message), instant);
    recordPeerAnswers(suspects, extractAnswers(message), instant);
    this.#recordSegmentNews(message, instant);
    this.#recordLimits(message, instant);
    recordPeerDepartures(this.#state.directory, extractDepartures(message), instant).forEach(
      (id) => {
        this.#log.change('endpoint_leaving', { endpointId: id, toldTo: message.vmId });
      },
    );
    const versions = extractVersions(message, instant);
    this.#notifyVersions?.(recordPeerVersions(this.#state.streamOrigins, versions, instant));
    this.#adoptKnowledge(message, instant);
    this.#gossipToUnknownMember(message.members);
    this.#answerNewcomer(message, instant);
    if (isNew) this.#notifyFound?.(message.address);
    this.#fetchIfBehind(message);
  }

  /** A peer that has read no less than this VM has named all versions that it has seen. */
  #adoptKnowledge(message: GossipMessage, instant: number): void {
    const { directory, streamOrigins } = this.#state;
    const { versionsKnownMs } = message;
    if (versionsKnownMs === null || directory.revision < 0) return;
    if (comparePositions(positionOf(message), directory) < 0) return;
    recordKnownSince(streamOrigins, instant - versionsKnownMs);
  }

  #recordSegmentNews(message: GossipMessage, instant: number): void {
    const { segmentSuspects, vmId } = this.#state;
    const news = extractSegmentNews(message, instant);
    recordPeerSegmentAnswers(segmentSuspects, news.answers);
    recordPeerSegmentCrashes(segmentSuspects, news.crashes, instant);
    news.failedTrials.forEach((trial) => recordPeerFailedTrial(segmentSuspects, trial));
    news.trials.forEach((trial) => recordPeerTrial(segmentSuspects, trial, vmId, instant));
  }

  #recordLimits(message: GossipMessage, instant: number): void {
    const { requestLimits, directory } = this.#state;
    const { vmId, isLeaving, arrivals } = message;
    const perSecond = arrivals === null ? null : new Map(arrivals);
    recordPeerArrivals(requestLimits, vmId, { heardAt: instant, isLeaving, perSecond });
    recordPeerSends(requestLimits, extractSends(message), instant);
    const limits = extractLimits(message).filter(({ endpointId }) =>
      directory.endpoints.has(endpointId),
    );
    recordPeerLimits(requestLimits, vmId, limits, instant).forEach((report) => {
      const { endpointId } = report;
      const fields = { endpointId, perSecond: report.perSecond, toldTo: vmId };
      this.#log.decision('request_limit_changed', fields);
    });
  }

  #removeExpiredPeers(instant: number): void {
    this.#state.peers.forEach(({ heardAt }, id) => {
      if (instant - heardAt > PEER_EXPIRY_MS) this.#state.peers.delete(id);
    });
  }

  /** Gossips to one member that is known to a peer but not to this VM. */
  #gossipToUnknownMember(members: readonly string[]): void {
    const known = new Set([...this.#state.peers.values()].map(({ address }) => address));
    const unknownMember = members.find(
      (address) =>
        !known.has(address) && address !== this.#settings.listen.control && isPeerAddress(address),
    );
    if (unknownMember !== undefined) this.#send(this.#createMessage(), [unknownMember]);
  }

  /**
   * Gossips at once, to a VM that does not know this one as well: it has just started and hears nobody
   * yet. It is a round of its own, since what is told a few times must reach other VMs, too.
   */
  #answerNewcomer({ address, members }: GossipMessage, instant: number): void {
    const isWholeList = members.length < MAX_MEMBERS;
    if (!isWholeList || members.includes(this.#settings.listen.control)) return;
    this.#answeredAt.forEach((at, newcomer) => {
      if (at <= instant - NEWCOMER_INTERVAL_MS) this.#answeredAt.delete(newcomer);
    });
    if (this.#answeredAt.has(address)) return;
    this.#answeredAt.set(address, instant);
    this.gossip([address]);
  }

  /** Fetches newer data from a peer when this VM will not read it from the store soon. */
  #fetchIfBehind(message: GossipMessage): void {
    const { routing, directory } = this.#state;
    const eraOrder = compareEras(message.configurationEra, routing.era);
    const versionOrder = message.configurationVersion - configurationVersion(routing);
    // The store itself tells when a version of a later era that is not higher comes into force.
    const isConfigurationBehind =
      eraOrder >= 0 && (versionOrder > 0 || (eraOrder > 0 && !this.#receiver.isConnected));
    const isDirectoryBehind =
      !this.#receiver.isConnected &&
      message.hasStore &&
      comparePositions(positionOf(message), directory) > 0;
    if (!isConfigurationBehind && !isDirectoryBehind) {
      this.#behindSince = null;
      return;
    }
    this.#behindSince ??= now();
    const isStoreExpectedSooner =
      this.#receiver.isConnected && now() - this.#behindSince < STORE_PROPAGATION_MS;
    if (isStoreExpectedSooner || this.#fetching.has(message.vmId)) return;
    if (this.#fetching.size >= MAX_FETCHES) return;
    this.#fetching.add(message.vmId);
    void this.#fetchPublication(message).finally(() => this.#fetching.delete(message.vmId));
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
        const answer = await readJson(body, MAX_PUBLICATION_BYTES, MAX_PUBLICATION_VALUES);
        client.receive(answer as never);
      });
      // An answer to another call is none to this one.
      const call = client.timeout(PUBLICATION_FETCH_TIMEOUT_MS).request('publication', {});
      const publication = (await call) as PeerPublication;
      if (publication.configurationText !== null) {
        const era = publication.configurationEra ?? null;
        this.#receiver.offerConfiguration(publication.configurationText, era, vmId);
      }
      this.#receiver.offerEndpoints(publication.endpoints, positionOf(publication), vmId);
    } catch (error) {
      this.#log.warn('peer_unavailable', { peer: vmId, error: String(error) });
    }
  }

  #createPublication(): PeerPublication {
    const { configurationText, directory, routing } = this.#state;
    return {
      configurationText,
      configurationEra: routing.era,
      storeEra: directory.era,
      directoryRevision: directory.revision,
      endpoints: [...directory.endpoints.values()],
    };
  }
}
