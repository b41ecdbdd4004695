import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@filbertlatch/core';

const BASE_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 10_000;
const MAX_BACKOFF_EXPONENT = 10;

/** Longest wait after a response without news: it prevents a busy loop when they return at once. */
const MAX_IDLE_WAIT_MS = 500;

/** Shortest wait of an inactive poller before it checks again whether to poll; at most doubled. */
const MIN_INACTIVE_WAIT_MS = 1000;

/** Draws the wait before the next retry in milliseconds: exponential backoff with full jitter. */
export function drawBackoffMs(
  failures: number,
  random: Random,
  maxMs: number = MAX_BACKOFF_MS,
): number {
  const exponent = Math.min(failures, MAX_BACKOFF_EXPONENT);
  return random.next() * Math.min(maxMs, BASE_BACKOFF_MS * 2 ** exponent);
}

/** Polls once; resolves with true when the response brought something new. */
export type Poll = (signal: AbortSignal) => Promise<boolean>;

/** Keeps one long poll open and repeats it after each response; failures back off. */
export class LongPoller {
  readonly #poll: Poll;

  readonly #onFailure: (error: unknown) => void;

  readonly #random: Random;

  readonly #isActive: () => boolean;

  readonly #maxBackoffMs: () => number;

  readonly #stop = new AbortController();

  #pollAbort = new AbortController();

  constructor(
    poll: Poll,
    onFailure: (error: unknown) => void,
    random: Random,
    isActive: () => boolean = () => true,
    maxBackoffMs: () => number = () => MAX_BACKOFF_MS,
  ) {
    this.#maxBackoffMs = maxBackoffMs;
    this.#isActive = isActive;
    this.#poll = poll;
    this.#onFailure = onFailure;
    this.#random = random;
  }

  /** Polls until stopped. */
  async run(): Promise<void> {
    let failures = 0;
    while (!this.#stop.signal.aborted) {
      if (!this.#isActive()) {
        await this.#wait(MIN_INACTIVE_WAIT_MS * (1 + this.#random.next()));
        continue;
      }
      this.#pollAbort = new AbortController();
      const signal = AbortSignal.any([this.#stop.signal, this.#pollAbort.signal]);
      try {
        const isNew = await this.#poll(signal);
        failures = 0;
        if (!isNew) await this.#wait(MAX_IDLE_WAIT_MS * this.#random.next());
      } catch (error) {
        if (this.#stop.signal.aborted) return;
        if (this.#pollAbort.signal.aborted) continue;
        failures += 1;
        this.#onFailure(error);
        await this.#wait(drawBackoffMs(failures, this.#random, this.#maxBackoffMs()));
      }
    }
  }

  /** Aborts the open poll, whose connection may be dead, and starts another. */
  restart(): void {
    this.#pollAbort.abort();
  }

  /** Aborts the open poll and starts no other. */
  stop(): void {
    this.#stop.abort();
  }

  async #wait(ms: number): Promise<void> {
    await sleep(ms, undefined, { signal: this.#stop.signal }).catch(() => {});
  }
}
