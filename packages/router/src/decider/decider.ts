import { decide, type Action, type ActionOf, type Core, type Message } from '@filbertlatch/core';

import { now } from '../clock.js';

/** Time between ticks while a request is open. */
const BUSY_TICK_MS = 20;

/** Time between ticks while no request is open; longer, because each tick wakes the process. */
const IDLE_TICK_MS = 100;

/** Shortest gap since the last tick that counts as a pause of the process. */
const MIN_PAUSE_MS = 2000;

type Handler<K extends Action['kind']> = (action: ActionOf<K>) => void;
/** Sees each message with its resulting actions; `now` in epoch milliseconds. */
type Watcher = (message: Message, actions: readonly Action[], now: number) => void;
type Handlers = { [K in Action['kind']]?: Handler<K> };

/** Owns the core: gives it one message at a time and passes its actions to their handlers. */
export class Decider {
  readonly core: Core;

  readonly #handlers: Handlers = {};

  readonly #watchers: Watcher[] = [];

  readonly #spentMs = new Map<Message['kind'], number>();

  readonly #queue: Message[] = [];

  #isDeciding = false;

  #tickTimer: NodeJS.Timeout | null = null;

  #lastTickAt = 0;

  #isIdleTick = true;

  constructor(core: Core) {
    this.core = core;
  }

  /** Sets the handler of a kind of action, in place of an earlier one. */
  on<K extends Action['kind']>(kind: K, handler: Handler<K>): void {
    this.#handlers[kind] = handler as Handlers[K];
  }

  /** Adds a watcher, which sees each message and its actions before the handlers run. */
  watch(watcher: Watcher): void {
    this.#watchers.push(watcher);
  }

  /** Milliseconds spent since the start on each kind of message, its handlers included. */
  get spentMsByKind(): ReadonlyMap<Message['kind'], number> {
    return this.#spentMs;
  }

  /** Gives the core a message; one that a handler posts waits until the present one is done. */
  post(message: Message): void {
    if (this.#isDeciding) {
      this.#queue.push(message);
      return;
    }
    this.#isDeciding = true;
    try {
      this.#handle(message);
      while (this.#queue.length > 0) this.#handle(this.#queue.shift()!);
      this.#endIdleTick();
    } finally {
      this.#isDeciding = false;
    }
  }

  /** Starts the ticks. */
  start(): void {
    this.#lastTickAt = now();
    this.#scheduleTick();
  }

  /** Stops the ticks. */
  stop(): void {
    if (this.#tickTimer !== null) clearTimeout(this.#tickTimer);
    this.#tickTimer = null;
  }

  #tick(): void {
    this.post({ kind: 'tick' });
    this.#lastTickAt = now();
    if (this.#tickTimer !== null) this.#scheduleTick();
  }

  #scheduleTick(): void {
    this.#isIdleTick = this.core.requests.size === 0;
    this.#tickTimer = setTimeout(
      () => this.#tick(),
      this.#isIdleTick ? IDLE_TICK_MS : BUSY_TICK_MS,
    );
  }

  // Replaces an idle tick by a busy one: the first request of an idle VM must not wait for it.
  #endIdleTick(): void {
    if (!this.#isIdleTick || this.#tickTimer === null || this.core.requests.size === 0) return;
    clearTimeout(this.#tickTimer);
    this.#scheduleTick();
  }

  // After a pause of the process, a socket event may come before the tick: the core must hear of
  // the pause before it gets that message.
  #handle(message: Message): void {
    const instant = now();
    const pausedMs = instant - this.#lastTickAt;
    if (pausedMs > MIN_PAUSE_MS && this.#tickTimer !== null) {
      this.#lastTickAt = instant;
      this.#decide({ kind: 'woke', pausedMs }, instant);
    }
    this.#decide(message, instant);
  }

  #decide(message: Message, instant: number): void {
    const actions = decide(this.core, message, instant);
    for (const watcher of this.#watchers) watcher(message, actions, instant);
    for (const action of actions) {
      (this.#handlers[action.kind] as Handler<typeof action.kind> | undefined)?.(action);
    }
    const spent = this.#spentMs.get(message.kind) ?? 0;
    this.#spentMs.set(message.kind, spent + now() - instant);
  }
}
