import type { HeldBody } from './heldBody.js';
import type { HeldKind } from './heldKind.js';

/** A request whose body is read once there is room for it. */
export interface BodyAsk {
  readonly kind: HeldKind;
  readonly bytes: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Client account that sends it; null without one. */
  readonly owner: string | null;
  /** It is refused after this; epoch milliseconds. */
  readonly giveUpAt: number;
  /** Its body gives way to others after this, whole or not; epoch milliseconds. */
  readonly readBy: number;
  /** There is room for its body. */
  grant(held: HeldBody): void;
  /** There is none; nothing of it has been sent. */
  refuse(): void;
}

function isBehind(ask: BodyAsk, other: BodyAsk): boolean {
  if (ask.priority !== other.priority) return ask.priority > other.priority;
  return ask.bytes > other.bytes;
}

/** Requests that wait for room: by priority, then size, then arrival. */
export class BodyQueue {
  readonly #maxAsks: number;

  readonly #asks: BodyAsk[] = [];

  constructor(maxAsks: number) {
    this.#maxAsks = maxAsks;
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.#asks.length;
  }

  /** Adds a request; returns the one that has no place, which is the least urgent and largest. */
  add(ask: BodyAsk): BodyAsk | undefined {
    const index = this.#asks.findIndex((other) => isBehind(other, ask));
    this.#asks.splice(index < 0 ? this.#asks.length : index, 0, ask);
    return this.#asks.length > this.#maxAsks ? this.#asks.pop() : undefined;
  }

  /** Removes a request; false when it does not wait. */
  remove(ask: BodyAsk): boolean {
    const index = this.#asks.indexOf(ask);
    if (index >= 0) this.#asks.splice(index, 1);
    return index >= 0;
  }

  /** Returns the first request that meets a condition. */
  find(condition: (ask: BodyAsk) => boolean): BodyAsk | undefined {
    return this.#asks.find(condition);
  }

  /** Returns the requests that have waited for too long. */
  listOverdue(now: number): BodyAsk[] {
    return this.#asks.filter(({ giveUpAt }) => giveUpAt <= now);
  }
}
