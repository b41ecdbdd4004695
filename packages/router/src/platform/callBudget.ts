import { setTimeout as sleep } from 'node:timers/promises';

import { now } from '../clock.js';

const MS_PER_SECOND = 1000;

/** Burst that an idle VM may send at once, in seconds of its call rate. */
const BURST_SECONDS = 4;

/** Smallest burst, for VMs whose rate is low. */
const MIN_BURST_CALLS = 4;

/**
 * Token bucket for this VM's calls to the platform. Its rate is the fleet's configured rate
 * divided by the number of live VMs.
 */
export class CallBudget {
  readonly #fleetCallsPerSecond: number;

  readonly #countVms: () => number;

  #availableCalls = MIN_BURST_CALLS;

  #refilledAt = now();

  /** Takes the calls per second of the whole fleet and a counter of the VMs that share them. */
  constructor(fleetCallsPerSecond: number, countVms: () => number) {
    this.#fleetCallsPerSecond = fleetCallsPerSecond;
    this.#countVms = countVms;
  }

  /** Takes one call from the budget; resolves when the call may be sent. */
  async take(signal?: AbortSignal): Promise<void> {
    this.#refill();
    this.#availableCalls -= 1;
    if (this.#availableCalls >= 0) return;
    const waitMs = (-this.#availableCalls / this.#callsPerSecond()) * MS_PER_SECOND;
    await sleep(waitMs, undefined, { signal });
  }

  #callsPerSecond(): number {
    return this.#fleetCallsPerSecond / this.#countVms();
  }

  #refill(): void {
    const rate = this.#callsPerSecond();
    const maxCalls = Math.max(MIN_BURST_CALLS, rate * BURST_SECONDS);
    const instant = now();
    const earned = ((instant - this.#refilledAt) * rate) / MS_PER_SECOND;
    this.#availableCalls = Math.min(maxCalls, this.#availableCalls + earned);
    this.#refilledAt = instant;
  }
}
