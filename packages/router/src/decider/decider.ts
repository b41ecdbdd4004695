import { decide, type Action, type ActionOf, type Core, type Message } from '@filbertlatch/core';

import { now } from '../clock.js';

const TICK_MS = 20;

/** A gap between ticks that only a paused process can have. */
const PAUSE_MS = 2000;

type Handler<K extends Action['kind']> = (action: ActionOf<K>) => void;
type Handlers = { [K in Action['kind']]?: Handler<K> };

/** The task that owns the core: takes messages in turn and hands its actions to the others. */
export class Decider {
  readonly core: Core;

  readonly #handlers: Handlers = {};

  readonly #waiting: Message[] = [];

  #busy = false;

  #timer: NodeJS.Timeout | null = null;

  #tickedAt = 0;

  constructor(core: Core) {
    this.core = core;
  }

  /** Names the one handler of a kind of action. */
  on<K extends Action['kind']>(kind: K, handler: Handler<K>): void {
    this.#handlers[kind] = handler as Handlers[K];
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
    } finally {
      this.#busy = false;
    }
  }

  /** Starts the ticks. */
  start(): void {
    this.#tickedAt = now();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Stops the ticks. */
  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#timer = null;
  }

  #tick(): void {
    this.post({ kind: 'tick' });
    this.#tickedAt = now();
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
    for (const action of decide(this.core, message, instant)) {
      (this.#handlers[action.kind] as Handler<typeof action.kind> | undefined)?.(action);
    }
  }
}
