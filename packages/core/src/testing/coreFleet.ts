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

/** Delay of each message between VMs or from the platform. */
const LINK_LATENCY_MS = 2;
/** Time after which a call without a reply fails. */
const CALL_TIMEOUT_MS = 1000;
/** Interval of the `tick` messages to each core. */
const TICK_MS = 100;

/** Advance of the clock at each start, so that each incarnation is unique. */
const START_SPACING_MS = 1;

/** One VM of the fleet, with its core and what the core has sent. */
export interface FleetNode {
  core: Core;
  /**
   * Until this instant, epoch milliseconds, the VM is paused: its messages are delivered afterwards.
   */
  pausedUntil: number;
  isUp: boolean;
  /** The `state-changed` actions of its core, in order. */
  readonly told: ActionOf<'state-changed'>[];
  /** All actions of its core, in order. */
  readonly sent: Action[];
}

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

/** What reads of the platform return; a test may change it at any time. */
export interface Platform {
  table: PublishedTable | null;
  list: VmList | null;
  isDown: boolean;
}

/**
 * Simulates several cores that exchange messages in memory on one virtual clock. A test decides how
 * links and the platform fail; the same seed gives the same run.
 */
export class CoreFleet {
  /** The virtual clock, epoch milliseconds. */
  now = 1_000_000;

  /** Says whether a message from one VM to another is lost. */
  isLost: (from: string, to: string) => boolean;

  readonly platform: Platform = { table: null, list: null, isDown: false };

  readonly nodes = new Map<string, FleetNode>();

  readonly random: Random;

  readonly #events: ScheduledEvent[] = [];

  readonly #replies = new Map<string, (reply: PeerReply) => void>();

  #callCount = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.isLost = () => false;
  }

  /** Starts a VM, or restarts it with empty state. */
  start(vm: Vm): FleetNode {
    this.now += START_SPACING_MS;
    const random = createRandom(Math.floor(this.random.next() * 2 ** 31));
    const core = createCore(vm, random, this.now);
    const node: FleetNode = { core, isUp: true, pausedUntil: 0, told: [], sent: [] };
    this.nodes.set(vm.id, node);
    this.offerList(vm.id);
    this.offerTable(vm.id);
    return node;
  }

  /** Stops a VM at once, without a drain. */
  crash(id: string): void {
    this.node(id).isUp = false;
  }

  /** Returns a VM that was started, running or not. */
  node(id: string): FleetNode {
    return this.nodes.get(id)!;
  }

  /** Delivers a table to a VM from the platform, or a failed read when the platform is down. */
  offerTable(id: string, table: PublishedTable | null = this.platform.table): void {
    const { isDown } = this.platform;
    this.#schedule(LINK_LATENCY_MS, () => {
      if (isDown || table === null) {
        this.post(id, { kind: 'platform-failed', part: 'configuration' });
      } else {
        this.post(id, { kind: 'manifest-offered', source: 'service', manifest: table.manifest });
      }
    });
  }

  /** Delivers a VM list to a VM from the platform, or a failed read when the platform is down. */
  offerList(id: string, list: VmList | null = this.platform.list): void {
    const { isDown } = this.platform;
    this.#schedule(LINK_LATENCY_MS, () => {
      if (isDown || list === null) this.post(id, { kind: 'platform-failed', part: 'list' });
      else this.post(id, { kind: 'list-offered', source: 'service', list });
    });
  }

  /**
   * Delivers a message to a VM, after its pause if it is paused, and performs the core's actions.
   */
  post(id: string, message: Message): void {
    const node = this.nodes.get(id);
    if (node === undefined || !node.isUp) return;
    if (node.pausedUntil > this.now) {
      this.#schedule(node.pausedUntil - this.now, () => this.post(id, message));
      return;
    }
    const sincePauseMs = this.now - node.pausedUntil;
    if (node.pausedUntil > 0 && sincePauseMs >= 0) {
      node.pausedUntil = 0;
      this.post(id, { kind: 'woke', pausedMs: CALL_TIMEOUT_MS });
    }
    decide(node.core, message, this.now).forEach((action) => this.#perform(id, node, action));
  }

  /** Advances the clock by `ms` and delivers all messages and ticks that fall due. */
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

  #schedule(ms: number, run: () => void): void {
    const at = this.now + ms;
    const index = this.#events.findIndex((event) => event.at > at);
    this.#events.splice(index < 0 ? this.#events.length : index, 0, { at, run });
  }

  #perform(id: string, node: FleetNode, action: Action): void {
    node.sent.push(action);
    if (action.kind === 'state-changed') node.told.push(action);
    if (action.kind === 'call-peer') this.#callPeer(id, action);
    if (action.kind === 'reply-peer') this.#replies.get(action.callId)?.(action.reply);
    if (action.kind === 'fetch-manifest') this.#performFetch(id, action);
    if (action.kind === 'fetch-list') this.#performFetch(id, action);
    if (action.kind === 'fetch-sheet') this.#performFetch(id, action);
  }

  /** Sends a call; `onReply` gets its reply, or null after the timeout. */
  #sendCall(
    from: string,
    to: string,
    call: ActionOf<'call-peer'>['call'],
    onReply: (reply: PeerReply | null) => void,
  ): void {
    this.#callCount += 1;
    const callId = `call-${this.#callCount}`;
    let isOpen = true;
    const end = (reply: PeerReply | null) => {
      if (isOpen) onReply(reply);
      isOpen = false;
    };
    this.#replies.set(callId, (reply) => {
      this.#replies.delete(callId);
      if (!this.isLost(to, from)) this.#schedule(LINK_LATENCY_MS, () => end(reply));
    });
    this.#schedule(CALL_TIMEOUT_MS, () => end(null));
    if (this.isLost(from, to)) return;
    this.#schedule(LINK_LATENCY_MS, () => this.post(to, { kind: 'peer-called', callId, call }));
  }

  #callPeer(id: string, { callId, peer, call }: ActionOf<'call-peer'>): void {
    this.#sendCall(id, peer.id, call, (reply) => {
      const peerId = peer.id;
      if (reply === null) this.post(id, { kind: 'peer-failed', callId, peerId, call });
      else this.post(id, { kind: 'peer-replied', callId, peerId, call, reply });
    });
  }

  #performFetch(
    id: string,
    action: ActionOf<'fetch-manifest' | 'fetch-list' | 'fetch-sheet'>,
  ): void {
    const { peer = null } = action;
    if (peer === null) {
      this.#fetchFromPlatform(id, action);
      return;
    }
    // `fetch-manifest` and `fetch-list` ask for the sheet named after the hyphen.
    const sheet = action.kind === 'fetch-sheet' ? action.sheet : action.kind.slice(6);
    const digest = action.kind === 'fetch-sheet' ? action.digest : null;
    this.#sendCall(id, peer.id, { method: 'sheet', sheet, digest }, (reply) => {
      this.#offerFetched(id, peer.id, sheet, reply as SheetReply | null);
    });
  }

  #offerFetched(id: string, peer: string, sheet: string, reply: SheetReply | null): void {
    const source = { peer };
    const { manifest = null, list = null, text = null } = reply ?? {};
    if (manifest !== null) this.post(id, { kind: 'manifest-offered', source, manifest });
    else if (list !== null) this.post(id, { kind: 'list-offered', source, list });
    else if (text !== null) this.#offerSheet(id, source, sheet, text);
    else if (!['manifest', 'list'].includes(sheet)) {
      this.post(id, { kind: 'sheet-missing', source, sheet });
    }
  }

  #offerSheet(id: string, source: 'service' | { peer: string }, sheet: string, text: string): void {
    this.post(id, { kind: 'sheet-offered', source, sheet, digest: digestText(text), text });
  }

  #fetchFromPlatform(
    id: string,
    action: ActionOf<'fetch-manifest' | 'fetch-list' | 'fetch-sheet'>,
  ): void {
    if (action.kind === 'fetch-manifest') this.offerTable(id);
    if (action.kind === 'fetch-list') this.offerList(id);
    if (action.kind !== 'fetch-sheet') return;
    const { sheet } = action;
    const { isDown, table } = this.platform;
    const text = isDown ? undefined : table?.texts.get(sheet);
    this.#schedule(LINK_LATENCY_MS, () => {
      if (text !== undefined) this.#offerSheet(id, 'service', sheet, text);
      else this.post(id, { kind: 'sheet-missing', source: 'service', sheet });
    });
  }
}
