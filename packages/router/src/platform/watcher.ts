import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@filbertlatch/core';

const FIRST_BACKOFF_MS = 100;
const LONGEST_BACKOFF_MS = 10_000;
const LARGEST_EXPONENT = 10;

/** Wait after an answer that brought nothing new, so that one given at once cannot spin. */
const IDLE_MS = 500;

/** Shortest time after which a VM that does not watch looks again whether it should. */
const INACTIVE_MS = 1000;

/** Returns the wait before the next try, with full jitter, in milliseconds. */
export function backoffMs(
  failures: number,
  random: Random,
  longestMs: number = LONGEST_BACKOFF_MS,
): number {
  const exponent = Math.min(failures, LARGEST_EXPONENT);
  return random.next() * Math.min(longestMs, FIRST_BACKOFF_MS * 2 ** exponent);
}

/** Reads once; resolves with true when the answer was new. */
export type Poll = (signal: AbortSignal) => Promise<boolean>;

/** The task that keeps one long poll open and starts it again after each answer. */
export class Watcher {
  readonly #poll: Poll;

  readonly #onFailure: (error: unknown) => void;

  readonly #random: Random;

  readonly #isReader: () => boolean;

  readonly #longestBackoffMs: () => number;

  readonly #stop = new AbortController();

  #attempt = new AbortController();

  constructor(
    poll: Poll,
    onFailure: (error: unknown) => void,
    random: Random,
    isReader: () => boolean = () => true,
    longestBackoffMs: () => number = () => LONGEST_BACKOFF_MS,
  ) {
    this.#longestBackoffMs = longestBackoffMs;
    this.#isReader = isReader;
    this.#poll = poll;
    this.#onFailure = onFailure;
    this.#random = random;
  }

  /** Polls until stopped; a failure waits with backoff and jitter. */
  async run(): Promise<void> {
    let failures = 0;
    while (!this.#stop.signal.aborted) {
      if (!this.#isReader()) {
        await this.#wait(INACTIVE_MS * (1 + this.#random.next()));
        continue;
      }
      this.#attempt = new AbortController();
      const signal = AbortSignal.any([this.#stop.signal, this.#attempt.signal]);
      try {
        const isNew = await this.#poll(signal);
        failures = 0;
        if (!isNew) await this.#wait(IDLE_MS * this.#random.next());
      } catch (error) {
        if (this.#stop.signal.aborted) return;
        if (this.#attempt.signal.aborted) continue;
        failures += 1;
        this.#onFailure(error);
        await this.#wait(backoffMs(failures, this.#random, this.#longestBackoffMs()));
      }
    }
  }

  /** Drops the open poll, which may be on a dead connection, and starts another. */
  restart(): void {
    this.#attempt.abort();
  }

  /** Ends the open poll and all later ones. */
  stop(): void {
    this.#stop.abort();
  }

  async #wait(ms: number): Promise<void> {
    await sleep(ms, undefined, { signal: this.#stop.signal }).catch(() => {});
  }
}
