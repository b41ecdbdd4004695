import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@filbertlatch/core';

const FIRST_BACKOFF_MS = 100;
const LONGEST_BACKOFF_MS = 10_000;
const LARGEST_EXPONENT = 10;

/** Returns the wait before the next try, with full jitter, in milliseconds. */
export function backoffMs(failures: number, random: Random): number {
  const exponent = Math.min(failures, LARGEST_EXPONENT);
  return random.next() * Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** exponent);
}

/** The task that keeps one long poll open and starts it again after each answer. */
export class Watcher {
  readonly #poll: (signal: AbortSignal) => Promise<void>;

  readonly #onFailure: (error: unknown) => void;

  readonly #random: Random;

  readonly #stop = new AbortController();

  constructor(
    poll: (signal: AbortSignal) => Promise<void>,
    onFailure: (error: unknown) => void,
    random: Random,
  ) {
    this.#poll = poll;
    this.#onFailure = onFailure;
    this.#random = random;
  }

  /** Polls until stopped; a failure waits with backoff and jitter. */
  async run(): Promise<void> {
    const { signal } = this.#stop;
    let failures = 0;
    while (!signal.aborted) {
      try {
        await this.#poll(signal);
        failures = 0;
      } catch (error) {
        if (signal.aborted) return;
        failures += 1;
        this.#onFailure(error);
        await sleep(backoffMs(failures, this.#random), undefined, { signal }).catch(() => {});
      }
    }
  }

  /** Ends the open poll and all later ones. */
  stop(): void {
    this.#stop.abort();
  }
}
