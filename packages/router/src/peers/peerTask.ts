import {
  nextId,
  type ActionOf,
  type AnswerCall,
  type AnswerReply,
  type PeerCall,
  type PeerReply,
  type Vm,
} from '@filbertlatch/core';
import type { Hono } from 'hono';

import type { Decider } from '../decider/index.js';
import { PeerError } from '../errors/index.js';
import type { ControlTraffic } from '../metrics/index.js';
import type { Credentials } from '../security/index.js';
import { createPeerApi } from './peerApi.js';
import { fetchFromPeer } from './fetchFromPeer.js';
import { PeerClient } from './peerClient.js';

const REPLY_TIMEOUT_MS = 1000;

interface Open {
  readonly resolve: (reply: PeerReply) => void;
  readonly timer: NodeJS.Timeout;
}

/** The task that owns the calls to and from other VMs. */
export class PeerTask {
  readonly api: Hono;

  readonly #decider: Decider;

  readonly #client: PeerClient;

  readonly #open = new Map<string, Open>();

  readonly #findAnswer: (call: AnswerCall) => AnswerReply;

  constructor(
    readCredentials: () => Credentials,
    decider: Decider,
    traffic: ControlTraffic,
    findAnswer: (call: AnswerCall) => AnswerReply,
  ) {
    this.#decider = decider;
    this.#findAnswer = findAnswer;
    this.#client = new PeerClient(readCredentials, traffic);
    this.api = createPeerApi(
      () => readCredentials().peerKeys,
      traffic,
      (call) => this.#receive(call),
    );
  }

  /** Calls a peer and posts what came of it. */
  async call({ callId, peer, call }: ActionOf<'call-peer'>): Promise<void> {
    const { id: peerId } = peer;
    try {
      const reply = await this.#client.call(peer, call);
      this.#decider.post({ kind: 'peer-replied', callId, peerId, call, reply });
    } catch {
      this.#decider.post({ kind: 'peer-failed', callId, peerId, call });
    }
  }

  /** Asks a peer for a sheet, the manifest or the list, and posts what it gave. */
  async fetch(action: ActionOf<'fetch-sheet' | 'fetch-manifest' | 'fetch-list'>): Promise<void> {
    const source = { peer: action.peer!.id };
    try {
      const message = await fetchFromPeer(this.#client, action);
      if (message !== null) this.#decider.post(message);
    } catch {
      if (action.kind !== 'fetch-sheet') return;
      this.#decider.post({ kind: 'sheet-missing', source, sheet: action.sheet });
    }
  }

  /** Asks a peer for the answer of a key's holder. Throws PeerError. */
  async askAnswer(peer: Vm, call: AnswerCall): Promise<AnswerReply> {
    return (await this.#client.call(peer, call)) as AnswerReply;
  }

  /** Sends the core's reply to a peer that called. */
  reply({ callId, reply }: ActionOf<'reply-peer'>): void {
    const open = this.#open.get(callId);
    if (open === undefined) return;
    this.#open.delete(callId);
    clearTimeout(open.timer);
    open.resolve(reply);
  }

  /** Uses the credentials in force for new connections. */
  renewCredentials(): void {
    this.#client.renew();
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    this.#open.forEach(({ timer }) => clearTimeout(timer));
    await this.#client.close();
  }

  #receive(call: PeerCall): Promise<PeerReply> {
    if (call.method === 'answer') return Promise.resolve(this.#findAnswer(call));
    const callId = nextId(this.#decider.core, 'c');
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#open.delete(callId);
        reject(new PeerError('no reply in time'));
      }, REPLY_TIMEOUT_MS);
      this.#open.set(callId, { resolve, timer });
      this.#decider.post({ kind: 'peer-called', callId, call });
    });
  }
}
