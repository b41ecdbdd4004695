import { listLostServices, randomInteger } from '@filbertlatch/core';
import * as z from 'zod';

import { now } from '../clock.js';
import { isPeerAddress } from './address.js';
import type { GatewayState } from './gatewayState.js';
import type { LoopDelay } from './loopDelay.js';
import type { PeerTask } from './peerTask.js';

/** Time within which a ping or request is answered over links that are on time. */
export const MAX_ROUND_TRIP_MS = 500;

/** Time for which an answered ping shows that the links to a peer are on time. */
const PROOF_MS = 800;

/** Age of the latest proof from which pings are sent: anything that was answered in time is proof. */
const PING_PROOF_AGE_MS = 200;

/** Time after which an unanswered ping counts against the links of this VM, and up to which. */
const MIN_UNANSWERED_MS = 500;
const MAX_UNANSWERED_MS = 1600;

/** Unanswered pings, and peers among those, from which the links of this VM may be late. */
const UNANSWERED_PINGS = 2;
const UNANSWERED_PEERS = 2;

/** Peers that get a ping at a time, and while requests go by way of peers. */
const PINGED_PEERS = 1;
const PINGED_CARRIERS = 12;

/** Peers that were not heard for so long get no ping. */
const MAX_SILENCE_MS = 2000;

const PING_METHOD = 'ping';
const PONG_METHOD = 'pong';

const token = z.string().min(1).max(64);

const pingSchema = z.object({
  /** Control address of the VM that asks. */
  address: z.string().refine(isPeerAddress),
  token,
});

const pongSchema = z.object({ token });

interface Ping {
  readonly peerId: string;
  readonly sentAt: number;
}

/**
 * Measures whether what this VM sends arrives in time: peers answer pings. A link may be filled for
 * seconds, and then a request and the close behind it arrive when its caller has left.
 */
export class PeerLinks {
  readonly #state: GatewayState;

  readonly #peers: PeerTask;

  readonly #loopDelay: LoopDelay;

  /** Latest pings, oldest first; by token. */
  readonly #pings = new Map<string, Ping>();

  /** Time at which the latest ping was sent that was answered in time; by VM id. */
  readonly #provenAt = new Map<string, number>();

  #pingCount = 0;

  constructor(state: GatewayState, peers: PeerTask, loopDelay: LoopDelay) {
    this.#state = state;
    this.#peers = peers;
    this.#loopDelay = loopDelay;
    peers.onMessage(PING_METHOD, (params) => this.#handlePing(params));
    peers.onMessage(PONG_METHOD, (params) => this.#handlePong(params));
  }

  /**
   * Sends the next pings, unless the links of this VM were proven on time lately: by pings, or by what
   * endpoints answered that was sent at `provenAt` (epoch milliseconds). Called by the maintenance timer.
   */
  maintain(provenAt: number): void {
    const oldest = this.#loopDelay.listenedSince(MAX_UNANSWERED_MS);
    this.#pings.forEach(({ sentAt }, id) => {
      if (sentAt < oldest) this.#pings.delete(id);
    });
    this.#provenAt.forEach((at, id) => {
      if (at < oldest) this.#provenAt.delete(id);
    });
    if (listLostServices(this.#state.contacts).length > 0) this.pingCarriers();
    else if (!this.#isProvenLately(provenAt)) this.#pingSome(PINGED_PEERS);
  }

  /** Pings peers that are about to carry requests. */
  pingCarriers(): void {
    this.#pingSome(PINGED_CARRIERS);
  }

  #isProvenLately(provenAt: number): boolean {
    const latest = Math.max(provenAt, this.provenAt(null));
    return this.#loopDelay.listenedMs(latest) < PING_PROOF_AGE_MS;
  }

  #pingSome(most: number): void {
    const peers = this.#listPeers();
    const count = Math.min(peers.length, most);
    const first = randomInteger(this.#state.random, Math.max(1, peers.length));
    for (let index = 0; index < count; index += 1) {
      const [id, address] = peers[(first + index) % peers.length]!;
      this.#ping(id, address);
    }
  }

  /** Time at which the latest ping was sent that a peer, or any for null, answered in time. */
  provenAt(peerId: string | null): number {
    if (peerId !== null) return this.#provenAt.get(peerId) ?? 0;
    return Math.max(0, ...this.#provenAt.values());
  }

  /** Says whether a request that goes to a peer arrives in time; true of one with an older software. */
  isPrompt(peerId: string): boolean {
    if (this.#state.peers.get(peerId)?.answersPings !== true) return true;
    const provenAt = this.#provenAt.get(peerId);
    return provenAt !== undefined && this.#loopDelay.listenedMs(provenAt) <= PROOF_MS;
  }

  /**
   * True when pings of the latest time are unanswered by peers that were heard meanwhile: what this VM
   * sends may be late.
   */
  get isDoubtful(): boolean {
    const due = [...this.#pings.values()].filter(
      ({ sentAt }) => this.#loopDelay.listenedMs(sentAt) >= MIN_UNANSWERED_MS,
    );
    if (this.#isProven(due[0]?.sentAt)) return false;
    const unanswered = due.filter(({ peerId, sentAt }) => this.#isHeardSince(peerId, sentAt));
    const peers = new Set(unanswered.map(({ peerId }) => peerId));
    const leastPeers = Math.min(UNANSWERED_PEERS, this.#listPeers().length);
    return unanswered.length >= UNANSWERED_PINGS && peers.size >= leastPeers;
  }

  /** True when a ping was answered in time that was sent since an instant. */
  #isProven(since = Number.POSITIVE_INFINITY): boolean {
    return [...this.#provenAt.values()].some((at) => at >= since);
  }

  #isHeardSince(peerId: string, since: number): boolean {
    return (this.#state.peers.get(peerId)?.heardAt ?? 0) >= since;
  }

  /** Lists the peers that answer pings: id and control address. */
  #listPeers(): [string, string][] {
    return [...this.#state.peers]
      .filter(([, peer]) => peer.answersPings === true)
      .filter(([, { heardAt }]) => this.#loopDelay.listenedMs(heardAt) <= MAX_SILENCE_MS)
      .map(([id, { address }]) => [id, address]);
  }

  #ping(peerId: string, address: string): void {
    this.#pingCount += 1;
    const id = `${this.#state.vmId} ${this.#pingCount}`.slice(-64);
    this.#pings.set(id, { peerId, sentAt: now() });
    this.#peers.sendMessage(PING_METHOD, { address: this.#peers.address, token: id }, [address]);
  }

  #handlePing(params: unknown): void {
    const { data } = pingSchema.safeParse(params);
    if (data === undefined) return;
    this.#peers.sendMessage(PONG_METHOD, { token: data.token }, [data.address]);
  }

  #handlePong(params: unknown): void {
    const { data } = pongSchema.safeParse(params);
    const ping = data === undefined ? undefined : this.#pings.get(data.token);
    if (ping === undefined) return;
    // It may have waited for this process to read it.
    const roundTripMs = this.#loopDelay.earliestArrivalAt - ping.sentAt;
    if (roundTripMs > MAX_ROUND_TRIP_MS) return;
    this.#pings.delete(data!.token);
    const provenAt = this.#provenAt.get(ping.peerId) ?? 0;
    this.#provenAt.set(ping.peerId, Math.max(provenAt, ping.sentAt));
  }
}
