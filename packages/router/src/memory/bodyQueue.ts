import type { HeldBody } from './heldBody.js';
import type { HeldKind } from './heldKind.js';

/** A request whose body is read once there is room for it. */
export interface BodyWaiter {
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

function isBehind(waiter: BodyWaiter, other: BodyWaiter): boolean {
  if (waiter.priority !== other.priority) return waiter.priority > other.priority;
  return waiter.bytes > other.bytes;
}

/** Requests that wait for room: by priority, then size, then arrival. */
export class BodyQueue {
  readonly #maxWaiters: number;

  readonly #waiters: BodyWaiter[] = [];

  constructor(maxWaiters: number) {
    this.#maxWaiters = maxWaiters;
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.#waiters.length;
  }

  /** Adds a request; returns the one that has no place, which is the least urgent and largest. */
  add(waiter: BodyWaiter): BodyWaiter | undefined {
    const index = this.#waiters.findIndex((other) => isBehind(other, waiter));
    this.#waiters.splice(index < 0 ? this.#waiters.length : index, 0, waiter);
    return this.#waiters.length > this.#maxWaiters ? this.#waiters.pop() : undefined;
  }

  /** Removes a request; false when it does not wait. */
  remove(waiter: BodyWaiter): boolean {
    const index = this.#waiters.indexOf(waiter);
    if (index >= 0) this.#waiters.splice(index, 1);
    return index >= 0;
  }

  /** Returns the first request that meets a condition. */
  find(condition: (waiter: BodyWaiter) => boolean): BodyWaiter | undefined {
    return this.#waiters.find(condition);
  }

  /** Returns the requests that have waited for too long. */
  listOverdue(now: number): BodyWaiter[] {
    return this.#waiters.filter(({ giveUpAt }) => giveUpAt <= now);
  }
}
