import {
  createCore,
  decide,
  type Action,
  type ActionOf,
  type Core,
  type Message,
} from '../entry/index.js';
import { createRandom, digestText, type Random } from '../shared/index.js';
import type { PeerReply, SheetReply, Vm, VmList } from '../types/index.js';
import type { PublishedTable } from './publishedTable.js';

const LATENCY_MS = 2;
const TIMEOUT_MS = 1000;
const TICK_MS = 100;

/** No two starts of a VM happen at the same instant. */
const START_MS = 1;

/** One VM of the fleet: its core and whether it runs. */
export interface Node {
  core: Core;
  /** Until this instant it neither hears nor does anything; a message waits for it. */
  pausedUntil: number;
  isUp: boolean;
  readonly told: ActionOf<'state-changed'>[];
  readonly sent: Action[];
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** What one node's platform reads give; each may be changed at any moment. */
export interface Platform {
  table: PublishedTable | null;
  list: VmList | null;
  isDown: boolean;
}

/**
 * Several cores that exchange messages in memory on one virtual clock. Links and the platform
 * fail as the test says; the same seed gives the same run.
 */
export class CoreFleet {
  now = 1_000_000;

  /** Says whether a message from one VM to another is lost. */
  isLost: (from: string, to: string) => boolean;

  readonly platform: Platform = { table: null, list: null, isDown: false };

  readonly nodes = new Map<string, Node>();

  readonly random: Random;

  readonly #events: Event[] = [];

  readonly #replies = new Map<string, (reply: PeerReply) => void>();

  #calls = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.isLost = () => false;
  }

  /** Starts a VM, or starts it again with nothing remembered. */
  start(vm: Vm): Node {
    this.now += START_MS;
    const random = createRandom(Math.floor(this.random.next() * 2 ** 31));
    const core = createCore(vm, random, this.now);
    const node: Node = { core, isUp: true, pausedUntil: 0, told: [], sent: [] };
    this.nodes.set(vm.id, node);
    this.offerList(vm.id);
    this.offerTable(vm.id);
    return node;
  }

  /** Stops a VM without a word. */
  crash(id: string): void {
    this.node(id).isUp = false;
  }

  /** Returns a VM that was started. */
  node(id: string): Node {
    return this.nodes.get(id)!;
  }

  /** Lets a VM's watch read the table; a platform that is down says so. */
  offerTable(id: string, table: PublishedTable | null = this.platform.table): void {
    const { isDown } = this.platform;
    this.#later(LATENCY_MS, () => {
      if (isDown || table === null) {
        this.post(id, { kind: 'platform-failed', part: 'configuration' });
      } else {
        this.post(id, { kind: 'manifest-offered', source: 'service', manifest: table.manifest });
      }
    });
  }

  /** Lets a VM's watch read the list. */
  offerList(id: string, list: VmList | null = this.platform.list): void {
    const { isDown } = this.platform;
    this.#later(LATENCY_MS, () => {
      if (isDown || list === null) this.post(id, { kind: 'platform-failed', part: 'list' });
      else this.post(id, { kind: 'list-offered', source: 'service', list });
    });
  }

  /** Gives a VM a message now, or when it wakes, and carries out what it answers. */
  post(id: string, message: Message): void {
    const node = this.nodes.get(id);
    if (node === undefined || !node.isUp) return;
    if (node.pausedUntil > this.now) {
      this.#later(node.pausedUntil - this.now, () => this.post(id, message));
      return;
    }
    const pausedMs = this.now - node.pausedUntil;
    if (node.pausedUntil > 0 && pausedMs >= 0) {
      node.pausedUntil = 0;
      this.post(id, { kind: 'woke', pausedMs: TIMEOUT_MS });
    }
    decide(node.core, message, this.now).forEach((action) => this.#carryOut(id, node, action));
  }

  /** Lets time pass. */
  run(ms: number): void {
    const end = this.now + ms;
    while (this.now < end) {
      const next = Math.min(end, this.now + TICK_MS);
      this.#runEvents(next);
      this.now = next;
      [...this.nodes].forEach(([id, node]) => {
        if (node.pausedUntil <= this.now) this.post(id, { kind: 'tick' });
      });
    }
  }

  #runEvents(until: number): void {
    for (;;) {
      const event = this.#events[0];
      if (event === undefined || event.at > until) return;
      this.#events.shift();
      this.now = Math.max(this.now, event.at);
      event.run();
    }
  }

  #later(ms: number, run: () => void): void {
    const at = this.now + ms;
    const index = this.#events.findIndex((event) => event.at > at);
    this.#events.splice(index < 0 ? this.#events.length : index, 0, { at, run });
  }

  #carryOut(id: string, node: Node, action: Action): void {
    node.sent.push(action);
    if (action.kind === 'state-changed') node.told.push(action);
    if (action.kind === 'call-peer') this.#callPeer(id, action);
    if (action.kind === 'reply-peer') this.#replies.get(action.callId)?.(action.reply);
    if (action.kind === 'fetch-manifest') this.#fetch(id, action);
    if (action.kind === 'fetch-list') this.#fetch(id, action);
    if (action.kind === 'fetch-sheet') this.#fetch(id, action);
  }

  /** Sends a call and hands on its reply, or null after a timeout. */
  #exchange(
    from: string,
    to: string,
    call: ActionOf<'call-peer'>['call'],
    onReply: (reply: PeerReply | null) => void,
  ): void {
    this.#calls += 1;
    const callId = `call-${this.#calls}`;
    let isOpen = true;
    const end = (reply: PeerReply | null) => {
      if (isOpen) onReply(reply);
      isOpen = false;
    };
    this.#replies.set(callId, (reply) => {
      this.#replies.delete(callId);
      if (!this.isLost(to, from)) this.#later(LATENCY_MS, () => end(reply));
    });
    this.#later(TIMEOUT_MS, () => end(null));
    if (this.isLost(from, to)) return;
    this.#later(LATENCY_MS, () => this.post(to, { kind: 'peer-called', callId, call }));
  }

  #callPeer(id: string, { callId, peer, call }: ActionOf<'call-peer'>): void {
    this.#exchange(id, peer.id, call, (reply) => {
      const peerId = peer.id;
      if (reply === null) this.post(id, { kind: 'peer-failed', callId, peerId, call });
      else this.post(id, { kind: 'peer-replied', callId, peerId, call, reply });
    });
  }

  #fetch(id: string, action: ActionOf<'fetch-manifest' | 'fetch-list' | 'fetch-sheet'>): void {
    const { peer = null } = action;
    if (peer === null) {
      this.#fetchFromService(id, action);
      return;
    }
    const sheet = action.kind === 'fetch-sheet' ? action.sheet : action.kind.slice(6);
    const digest = action.kind === 'fetch-sheet' ? action.digest : null;
    this.#exchange(id, peer.id, { method: 'sheet', sheet, digest }, (reply) => {
      this.#offerReply(id, peer.id, sheet, reply as SheetReply | null);
    });
  }

  #offerReply(id: string, peer: string, sheet: string, reply: SheetReply | null): void {
    const source = { peer };
    const { manifest = null, list = null, text = null } = reply ?? {};
    if (manifest !== null) this.post(id, { kind: 'manifest-offered', source, manifest });
    else if (list !== null) this.post(id, { kind: 'list-offered', source, list });
    else if (text !== null) this.#offerText(id, source, sheet, text);
    else if (!['manifest', 'list'].includes(sheet)) {
      this.post(id, { kind: 'sheet-missing', source, sheet });
    }
  }

  #offerText(id: string, source: 'service' | { peer: string }, sheet: string, text: string): void {
    this.post(id, { kind: 'sheet-offered', source, sheet, digest: digestText(text), text });
  }

  #fetchFromService(
    id: string,
    action: ActionOf<'fetch-manifest' | 'fetch-list' | 'fetch-sheet'>,
  ): void {
    if (action.kind === 'fetch-manifest') this.offerTable(id);
    if (action.kind === 'fetch-list') this.offerList(id);
    if (action.kind !== 'fetch-sheet') return;
    const { sheet } = action;
    const { isDown, table } = this.platform;
    const text = isDown ? undefined : table?.texts.get(sheet);
    this.#later(LATENCY_MS, () => {
      if (text !== undefined) this.#offerText(id, 'service', sheet, text);
      else this.post(id, { kind: 'sheet-missing', source: 'service', sheet });
    });
  }
}
