import { randomInteger } from '@filbertlatch/core';

import type { GatewayContext } from './gatewayContext.js';

/** Time before the first try, which doubles with each further one up to a longest time. */
const FIRST_WAIT_MS = 100;
const LONGEST_WAIT_MS = 400;

/** Fraction of a wait that is drawn, so that requests that wait do not come all at once. */
const DRAWN_FRACTION = 0.25;

/** Waits before a request is tried again that nothing takes at the moment. */
export class RetryWait {
  readonly #context: Pick<GatewayContext, 'log' | 'metrics' | 'state'>;

  readonly #requestId: string;

  #timer: NodeJS.Timeout | null = null;

  #waitMs = FIRST_WAIT_MS;

  constructor(context: Pick<GatewayContext, 'log' | 'metrics' | 'state'>, requestId: string) {
    this.#context = context;
    this.#requestId = requestId;
  }

  /** Returns the length of the next wait in milliseconds; that of the wait after it is longer. */
  takeWaitMs(reason: string): number {
    const { log, metrics, state } = this.#context;
    const waitMs = this.#waitMs;
    const requestId = this.#requestId;
    if (waitMs === FIRST_WAIT_MS) log.decision('retry_delayed', { requestId, reason });
    metrics.countDelayedRetry(reason);
    this.#waitMs = Math.min(LONGEST_WAIT_MS, 2 * waitMs);
    return waitMs - randomInteger(state.random, waitMs * DRAWN_FRACTION);
  }

  /** Starts to wait, in place of what it waits for now. */
  start(reason: string, tryAgain: () => void): void {
    this.stop();
    this.#timer = setTimeout(tryAgain, this.takeWaitMs(reason));
  }

  /** Stops waiting. */
  stop(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
  }

  /** Records that an attempt goes on: the next wait is short again. True when it has waited. */
  reset(): boolean {
    const hasWaited = this.#waitMs > FIRST_WAIT_MS;
    this.#waitMs = FIRST_WAIT_MS;
    return hasWaited;
  }
}
