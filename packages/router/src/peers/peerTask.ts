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

/** A peer's call that waits for the core's reply. */
interface PendingReply {
  readonly resolve: (reply: PeerReply) => void;
  readonly timer: NodeJS.Timeout;
}

/** Sends calls to other VMs and answers theirs. */
export class PeerTask {
  readonly api: Hono;

  readonly #decider: Decider;

  readonly #client: PeerClient;

  readonly #pendingReplies = new Map<string, PendingReply>();

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

  /** Calls a peer and posts its reply or the failure. */
  async call({ callId, peer, call }: ActionOf<'call-peer'>): Promise<void> {
    const { id: peerId } = peer;
    try {
      const reply = await this.#client.call(peer, call);
      this.#decider.post({ kind: 'peer-replied', callId, peerId, call, reply });
    } catch {
      this.#decider.post({ kind: 'peer-failed', callId, peerId, call });
    }
  }

  /** Asks a peer for a sheet, the manifest or the list of VMs, and posts what it returned. */
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

  /** Fetches the answer to a key's request from the VM that holds the key. Throws PeerError. */
  async fetchAnswer(peer: Vm, call: AnswerCall): Promise<AnswerReply> {
    return (await this.#client.call(peer, call)) as AnswerReply;
  }

  /** Sends the core's reply to the calling peer; does nothing after the call timed out. */
  reply({ callId, reply }: ActionOf<'reply-peer'>): void {
    const open = this.#pendingReplies.get(callId);
    if (open === undefined) return;
    this.#pendingReplies.delete(callId);
    clearTimeout(open.timer);
    open.resolve(reply);
  }

  /** Opens new connections with the current credentials. */
  renewCredentials(): void {
    this.#client.renewCredentials();
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    this.#pendingReplies.forEach(({ timer }) => clearTimeout(timer));
    await this.#client.close();
  }

  #receive(call: PeerCall): Promise<PeerReply> {
    if (call.method === 'answer') return Promise.resolve(this.#findAnswer(call));
    const callId = nextId(this.#decider.core, 'c');
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#pendingReplies.delete(callId);
        reject(new PeerError('no reply in time'));
      }, REPLY_TIMEOUT_MS);
      this.#pendingReplies.set(callId, { resolve, timer });
      this.#decider.post({ kind: 'peer-called', callId, call });
    });
  }
}
