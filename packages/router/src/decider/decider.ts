import { decide, type Action, type ActionOf, type Core, type Message } from '@filbertlatch/core';

import { now } from '../clock.js';

const TICK_MS = 20;

/** Time between ticks while no request is open: each tick wakes the process. */
const IDLE_TICK_MS = 100;

/** A gap between ticks that only a paused process can have. */
const PAUSE_MS = 2000;

type Handler<K extends Action['kind']> = (action: ActionOf<K>) => void;
type Watcher = (message: Message, actions: readonly Action[], now: number) => void;
type Handlers = { [K in Action['kind']]?: Handler<K> };

/** The task that owns the core: takes messages in turn and hands its actions to the others. */
export class Decider {
  readonly core: Core;

  readonly #handlers: Handlers = {};

  readonly #watchers: Watcher[] = [];

  readonly #spentMs = new Map<Message['kind'], number>();

  readonly #waiting: Message[] = [];

  #busy = false;

  #timer: NodeJS.Timeout | null = null;

  #tickedAt = 0;

  #isIdle = true;

  constructor(core: Core) {
    this.core = core;
  }

  /** Names the one handler of a kind of action. */
  on<K extends Action['kind']>(kind: K, handler: Handler<K>): void {
    this.#handlers[kind] = handler as Handlers[K];
  }

  /** Shows each message and its actions to a watcher, before they are carried out. */
  watch(watcher: Watcher): void {
    this.#watchers.push(watcher);
  }

  /** Returns the time spent since start on each kind of message, in milliseconds. */
  get spentMs(): ReadonlyMap<Message['kind'], number> {
    return this.#spentMs;
  }

  /** Gives the core a message; one posted by a handler waits until the present one is done. */
  post(message: Message): void {
    if (this.#busy) {
      this.#waiting.push(message);
      return;
    }
    this.#busy = true;
    try {
      this.#handle(message);
      while (this.#waiting.length > 0) this.#handle(this.#waiting.shift()!);
      this.#hasten();
    } finally {
      this.#busy = false;
    }
  }

  /** Starts the ticks. */
  start(): void {
    this.#tickedAt = now();
    this.#arm();
  }

  /** Stops the ticks. */
  stop(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
  }

  #tick(): void {
    this.post({ kind: 'tick' });
    this.#tickedAt = now();
    if (this.#timer !== null) this.#arm();
  }

  #arm(): void {
    this.#isIdle = this.core.requests.size === 0;
    this.#timer = setTimeout(() => this.#tick(), this.#isIdle ? IDLE_TICK_MS : TICK_MS);
  }

  // The first request of an idle VM must not wait out an idle tick.
  #hasten(): void {
    if (!this.#isIdle || this.#timer === null || this.core.requests.size === 0) return;
    clearTimeout(this.#timer);
    this.#arm();
  }

  // After a pause a socket may speak before the timer does: the core learns of the pause first.
  #handle(message: Message): void {
    const instant = now();
    const pausedMs = instant - this.#tickedAt;
    if (pausedMs > PAUSE_MS && this.#timer !== null) {
      this.#tickedAt = instant;
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
