import { setTimeout as sleep } from 'node:timers/promises';

import {
  chooseOriginKeepers,
  findOnlyVersion,
  findOrigin,
  hasSeveralVersions,
  isOriginKeeper,
  listLatestOrigins,
  listOwnOrigins,
  listVersions,
  mayHaveUnknownVersions,
  ORIGIN_TTL_MS,
  recordKnownSince,
  recordOrigin,
  recordPeerVersions,
  recordServingVersions,
  streamKey,
  type KeyedOrigin,
  type StreamOrigin,
} from '@filbertlatch/core';
import * as z from 'zod';

import { now } from '../clock.js';
import { isPeerAddress } from './address.js';
import { checkEndpoint } from './checkEndpoint.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import type { LoopDelay } from './loopDelay.js';
import type { PeerTask } from './peerTask.js';
import type { PublicationSource } from './publication.js';
import { SilenceTimer } from './silenceTimer.js';
import { readVersionHistory, type VersionHistory } from './versionHistory.js';
import {
  extractReplyVersions,
  MAX_STORE_AGE_MS,
  VersionInquiry,
  versionReplySchema,
  type VersionReply,
} from './versionInquiry.js';

/** VMs that keep the origin of a stream beside the one at which it began. */
const KEEPER_COUNT = 4;

/** VMs that are asked for the origin of a stream; more than keep it, since VMs come and go. */
const ASKED_COUNT = 8;

/** Waits after each round of questions; a message or its answer may be lost. */
const ASK_WAITS_MS = [20, 40, 60];

/** Time after which an origin is sent again: the first message may be lost, or no peer known yet. */
const RESEND_MS = 40;

/** Most origins in one message. */
const MAX_ORIGINS_PER_MESSAGE = 24;

/** Origins that a VM looks through for one that has just started; the latest, whose callers come back. */
const MAX_HANDED_ORIGINS = 480;

/** Time in which one VM is told its origins only once; longer than the wait before it asks again. */
const HAND_INTERVAL_MS = 1000;

/** A peer that has been silent for longer keeps nothing and is not asked. */
const MAX_SILENCE_MS = 1500;

/** Time after the start in which this VM may not have heard of its peers yet. */
const JOIN_MS = 1500;

/** Wait before the history is read again from a store that did not answer. */
const HISTORY_RETRY_MS = 1000;

const KEEP_METHOD = 'keepOrigins';
const ASK_METHOD = 'askOrigin';
const REPLY_METHOD = 'tellVersions';
const HAND_METHOD = 'handOrigins';

/** A VM counts as part of the fleet for this long after its last message. */
const FLEET_MS = 15_000;

const text = z.string().min(1).max(256);

const keepSchema = z.object({
  /** Stream key, service id, software version. */
  origins: z.array(z.tuple([text, text, text.nullable()])).max(MAX_ORIGINS_PER_MESSAGE),
  /** Milliseconds since each was first known to its sender; absent for those that are new. */
  agesMs: z.array(z.number().min(0)).max(MAX_ORIGINS_PER_MESSAGE).default([]),
});

const handSchema = z.object({ vmId: text });

const askSchema = z.object({
  /** Control address of the VM that asks. */
  address: text.refine(isPeerAddress),
  key: text,
  /** The VM that is asked also answers which versions of the service it knows; absent from old VMs. */
  serviceId: text.optional(),
});

/**
 * Where a stream that a caller takes up may go on: `known` at its origin, `any` when no version has
 * served yet, `unknown` when several do and no VM that answers knows the stream.
 */
export type OriginAnswer =
  { readonly kind: 'known'; readonly origin: StreamOrigin } | { readonly kind: 'any' | 'unknown' };

interface Peer {
  readonly id: string;
  /** Control address. */
  readonly address: string;
}

/**
 * Knows where streams began that callers take up at any VM. While a service has several versions, the
 * origin of each of its streams is kept by a few VMs that its key names.
 */
export class OriginTask {
  readonly #state: GatewayState;

  readonly #peers: PeerTask;

  readonly #source: PublicationSource;

  readonly #loopDelay: LoopDelay;

  readonly #log: GatewayLog;

  readonly #stop = new AbortController();

  readonly #startedAt = now();

  /** Called when the origin of a stream arrives; by stream key. */
  readonly #waiting = new Map<string, Set<() => void>>();

  #unnamedCount = 0;

  /** Instants at which VMs that have just started were told their origins, by id. */
  readonly #handedAt = new Map<string, number>();

  /** Questions that wait for answers; by stream key. */
  readonly #inquiries = new Map<string, VersionInquiry>();

  constructor(
    state: GatewayState,
    peers: PeerTask,
    source: PublicationSource,
    loopDelay: LoopDelay,
    log: GatewayLog,
  ) {
    this.#state = state;
    this.#peers = peers;
    this.#source = source;
    this.#loopDelay = loopDelay;
    this.#log = log;
    peers.onMessage(KEEP_METHOD, (params) => this.#handleKeep(params));
    peers.onMessage(ASK_METHOD, (params) => this.#handleAsk(params));
    peers.onMessage(REPLY_METHOD, (params) => this.#handleReply(params));
    peers.onMessage(HAND_METHOD, (params) => this.#handleHand(params));
  }

  /**
   * Finds out which versions served before this VM started: a stream that began then may be taken up
   * here. `revision` is that of the first endpoints.
   */
  async readHistory(revision: number): Promise<void> {
    const { streamOrigins } = this.#state;
    recordKnownSince(streamOrigins, now());
    while (this.#mayHaveUnknown() && !this.#stop.signal.aborted) {
      try {
        const history = await readVersionHistory(this.#source, revision, this.#stop.signal);
        this.#applyHistory(history);
        return;
      } catch (error) {
        this.#log.decision('version_history_unread', { error: String(error) });
        await sleep(HISTORY_RETRY_MS, undefined, { ref: false });
      }
    }
  }

  /** Stops to read the history. */
  stop(): void {
    this.#stop.abort();
  }

  #applyHistory({ entries, spanMs }: VersionHistory): void {
    const { streamOrigins, directory } = this.#state;
    const known = new Set(directory.endpoints.keys());
    const seen = entries.flatMap((entry) => {
      const endpoint =
        entry.text === null
          ? null
          : checkEndpoint(this.#source.decodeEndpoint(entry.id, entry.text));
      if (endpoint !== null) known.add(entry.id);
      return endpoint === null ? [] : [endpoint];
    });
    this.sendOwn(recordServingVersions(streamOrigins, seen, now()));
    // One that was there before the history, and left, may have had another version.
    const isWhole = entries.every(({ id }) => known.has(id));
    if (isWhole) recordKnownSince(streamOrigins, now() - spanMs);
    this.#log.change('version_history_read', { changes: entries.length, spanMs, isWhole });
  }

  /** True while streams may come that began before this VM knew of the versions that served. */
  #mayHaveUnknown(): boolean {
    const { streamOrigins, routing } = this.#state;
    const { routes } = routing.configuration ?? {};
    // Callers may come later than the time-outs of routes, which also change while streams are open.
    const hasStreams = routes === undefined || routes.some(({ isResumable }) => isResumable);
    return hasStreams && mayHaveUnknownVersions(streamOrigins, now());
  }

  #mustNameOrigins(serviceId: string): boolean {
    const { streamOrigins } = this.#state;
    return hasSeveralVersions(streamOrigins, serviceId, now()) || this.#mayHaveUnknown();
  }

  /** Records where a stream of this VM began. */
  record(accountId: string | null, requestId: string, origin: StreamOrigin): void {
    const key = streamKey(accountId, requestId);
    const { streamOrigins } = this.#state;
    recordOrigin(streamOrigins, key, origin, true, now());
    if (!this.#mustNameOrigins(origin.serviceId)) return;
    this.#send([{ key, ...origin }]);
  }

  /** Records which versions serve. */
  updateVersions(): void {
    const { streamOrigins, directory } = this.#state;
    this.sendOwn(recordServingVersions(streamOrigins, directory.endpoints.values(), now()));
  }

  /** Sends the origins of this VM's streams of services that have several versions from now on. */
  sendOwn(serviceIds: readonly string[]): void {
    const { streamOrigins } = this.#state;
    serviceIds.forEach((id) => this.#send(listOwnOrigins(streamOrigins, id, now())));
  }

  /**
   * Asks a peer that is heard for the first time for the origins that this VM is to keep: it kept them
   * before it was started anew.
   */
  askForKept(address: string): void {
    if (now() - this.#startedAt > ORIGIN_TTL_MS) return;
    const question = { vmId: this.#state.vmId };
    const ask = () => this.#peers.sendMessage(HAND_METHOD, question, [address]);
    ask();
    setTimeout(ask, RESEND_MS).unref();
  }

  /** Finds where a stream may go on; `requestId` is that of its first event, null if not named. */
  async find(
    accountId: string | null,
    requestId: string | null,
    serviceId: string,
  ): Promise<OriginAnswer> {
    this.updateVersions();
    const key = requestId === null ? null : streamKey(accountId, requestId);
    const known = key === null ? null : this.#findKnown(key);
    if (known !== null) return known;
    if (this.#isBelieved()) {
      const only = this.#findOnlyVersion(serviceId);
      if (only !== null) return only;
    }
    return this.#ask(key ?? this.#createUnnamedKey(), serviceId);
  }

  /** True when no peer can be asked whether another version serves: none is known, or none answers. */
  #isBelieved(): boolean {
    const { peers } = this.#state;
    const heard = this.#listPeers();
    if (heard.length > 0) return !heard.some(({ id }) => this.#isAnswering(id));
    return peers.size === 0 || this.#storeAgeMs <= MAX_STORE_AGE_MS;
  }

  /** False for a peer with an older software, which answers only where a stream began. */
  #isAnswering(peerId: string): boolean {
    return this.#state.peers.get(peerId)?.answersPings === true;
  }

  /** Returns the key of a question about a stream whose first request its caller does not name. */
  #createUnnamedKey(): string {
    this.#unnamedCount += 1;
    return `unnamed ${this.#unnamedCount}`;
  }

  get #storeAgeMs(): number {
    return now() - this.#peers.endpointsReadAt;
  }

  /** Returns where any stream of a service goes on; null while that depends on the stream. */
  #findOnlyVersion(serviceId: string): OriginAnswer | null {
    if (!this.#isInTouch() || this.#mustNameOrigins(serviceId)) return null;
    const origin = findOnlyVersion(this.#state.streamOrigins, serviceId, now());
    return origin === undefined ? { kind: 'any' } : { kind: 'known', origin };
  }

  #findKnown(key: string): OriginAnswer | null {
    const origin = findOrigin(this.#state.streamOrigins, key, now());
    return origin === undefined ? null : { kind: 'known', origin };
  }

  /** True when another version would be known here: from the store, or from a peer. */
  #isInTouch(): boolean {
    if (this.#listPeers().length > 0) return true;
    return this.#peers.hasStore && this.#loopDelay.listenedMs(this.#startedAt) > JOIN_MS;
  }

  #listPeers(): Peer[] {
    return [...this.#state.peers]
      .filter(([, { heardAt }]) => this.#loopDelay.listenedMs(heardAt) <= MAX_SILENCE_MS)
      .map(([id, { address }]) => ({ id, address }));
  }

  #send(origins: readonly KeyedOrigin[]): void {
    const peers = this.#listPeers();
    const byAddress = this.#sendToKeepers(origins, peers);
    setTimeout(() => {
      const ids = new Set(peers.map(({ id }) => id));
      const peersNow = this.#listPeers();
      // A VM that has just started hears its first peers meanwhile.
      if (peersNow.some(({ id }) => !ids.has(id))) this.#sendToKeepers(origins, peersNow);
      else byAddress.forEach((kept, address) => this.#sendTo(address, kept));
    }, RESEND_MS).unref();
  }

  /** Sends origins to those that keep them, and returns what each has got, by address. */
  #sendToKeepers(
    origins: readonly KeyedOrigin[],
    peers: readonly Peer[],
  ): ReadonlyMap<string, readonly KeyedOrigin[]> {
    const byAddress = new Map<string, KeyedOrigin[]>();
    origins.forEach((origin) => {
      chooseOriginKeepers(origin.key, peers, KEEPER_COUNT).forEach(({ address }) => {
        byAddress.set(address, [...(byAddress.get(address) ?? []), origin]);
      });
    });
    byAddress.forEach((kept, address) => this.#sendTo(address, kept));
    return byAddress;
  }

  /** `ageOf` returns the age of an origin that is not new. */
  #sendTo<T extends KeyedOrigin>(
    address: string,
    origins: readonly T[],
    ageOf: ((origin: T) => number) | null = null,
  ): void {
    for (let first = 0; first < origins.length; first += MAX_ORIGINS_PER_MESSAGE) {
      const part = origins.slice(first, first + MAX_ORIGINS_PER_MESSAGE);
      const tuples = part.map(({ key, serviceId, version }) => [key, serviceId, version]);
      const ages = ageOf === null ? {} : { agesMs: part.map(ageOf) };
      this.#peers.sendMessage(KEEP_METHOD, { origins: tuples, ...ages }, [address]);
    }
  }

  /**
   * Asks peers for the origin of a stream, and whether another version serves: what this VM knows may
   * be old, as it is cut off or was not run.
   */
  async #ask(key: string, serviceId: string): Promise<OriginAnswer> {
    const inquiry = this.#inquiries.get(key) ?? new VersionInquiry(this.#storeAgeMs);
    this.#inquiries.set(key, inquiry);
    const question = { address: this.#peers.address, key, serviceId };
    try {
      for (const waitMs of ASK_WAITS_MS) {
        // A VM that has just started hears its first peers meanwhile.
        const asked = chooseOriginKeepers(key, this.#listPeers(), ASKED_COUNT);
        const answering = asked.filter(({ id }) => this.#isAnswering(id));
        inquiry.ask(answering.length, this.#isMajorityHeard());
        const addresses = asked.map(({ address }) => address);
        this.#peers.sendMessage(ASK_METHOD, question, addresses);
        await this.#waitFor(key, waitMs);
        const known = this.#findKnown(key);
        if (known !== null) return known;
        // A VM that has just started may have heard from its peers meanwhile.
        const only = inquiry.isConfirmed ? this.#findOnlyVersion(serviceId) : null;
        if (only !== null) return only;
      }
    } finally {
      this.#inquiries.delete(key);
    }
    return { kind: 'unknown' };
  }

  /** True when this VM hears more than half of the fleet. */
  #isMajorityHeard(): boolean {
    const since = this.#loopDelay.listenedSince(FLEET_MS);
    const members = [...this.#state.peers.values()].filter(({ heardAt }) => heardAt >= since);
    return 2 * (this.#listPeers().length + 1) > members.length + 1;
  }

  async #waitFor(key: string, waitMs: number): Promise<void> {
    const timer = new SilenceTimer(this.#loopDelay);
    const waiting = this.#waiting.get(key) ?? new Set();
    this.#waiting.set(key, waiting);
    await new Promise<void>((resolve) => {
      const stop = () => {
        timer.stop();
        waiting.delete(stop);
        resolve();
      };
      waiting.add(stop);
      timer.start(waitMs, stop);
    });
    if (waiting.size === 0) this.#waiting.delete(key);
  }

  #handleKeep(params: unknown): void {
    const { data } = keepSchema.safeParse(params);
    data?.origins.forEach(([key, serviceId, version], index) => {
      const ageMs = data.agesMs[index] ?? 0;
      if (ageMs >= ORIGIN_TTL_MS) return;
      recordOrigin(this.#state.streamOrigins, key, { serviceId, version }, false, now() - ageMs);
      this.#waiting.get(key)?.forEach((stop) => stop());
    });
  }

  #handleHand(params: unknown): void {
    const { data } = handSchema.safeParse(params);
    const peers = this.#listPeers();
    const asking = peers.find(({ id }) => id === data?.vmId);
    const instant = now();
    if (asking === undefined || !this.#mayHand(asking.id, instant)) return;
    const kept = listLatestOrigins(this.#state.streamOrigins, MAX_HANDED_ORIGINS, instant)
      .filter(({ serviceId }) => this.#mustNameOrigins(serviceId))
      .filter(({ key }) => isOriginKeeper(key, asking.id, peers, KEEPER_COUNT));
    this.#sendTo(asking.address, kept, ({ at }) => Math.max(0, Math.round(instant - at)));
  }

  /** Says whether a VM may be told its origins now, and takes it that it is. */
  #mayHand(vmId: string, instant: number): boolean {
    this.#handedAt.forEach((at, id) => {
      if (at <= instant - HAND_INTERVAL_MS) this.#handedAt.delete(id);
    });
    if (this.#handedAt.has(vmId)) return false;
    this.#handedAt.set(vmId, instant);
    return true;
  }

  #handleAsk(params: unknown): void {
    const { data } = askSchema.safeParse(params);
    if (data === undefined) return;
    const { address, key } = data;
    const origin = findOrigin(this.#state.streamOrigins, key, now());
    if (origin !== undefined) {
      const { serviceId, version } = origin;
      this.#sendTo(address, [{ key, serviceId, version }]);
    }
    if (data.serviceId === undefined) return;
    this.updateVersions();
    const reply = this.#createReply(key, data.serviceId);
    this.#peers.sendMessage(REPLY_METHOD, reply, [address]);
  }

  #createReply(key: string, serviceId: string): VersionReply {
    const { streamOrigins, vmId } = this.#state;
    const instant = now();
    const readAt = this.#peers.endpointsReadAt;
    const ageOf = (at: number) => Math.max(0, Math.round(instant - at));
    const versions = listVersions(streamOrigins, serviceId, instant);
    return {
      ...{ key, vmId, serviceId },
      versions: versions.map(({ version, at }) => [version, ageOf(at)]),
      storeAgeMs: readAt === 0 ? null : ageOf(readAt),
    };
  }

  #handleReply(params: unknown): void {
    const { data } = versionReplySchema.safeParse(params);
    const inquiry = data === undefined ? undefined : this.#inquiries.get(data.key);
    if (inquiry === undefined) return;
    const { streamOrigins } = this.#state;
    const seen = extractReplyVersions(data!, now());
    this.sendOwn(recordPeerVersions(streamOrigins, seen, now()));
    inquiry.add(data!);
    if (inquiry.isComplete) this.#waiting.get(data!.key)?.forEach((stop) => stop());
  }
}
