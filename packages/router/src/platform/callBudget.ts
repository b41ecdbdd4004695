import { setTimeout as sleep } from 'node:timers/promises';

import { now } from '../clock.js';

const MS_PER_SECOND = 1000;

/** Calls that a VM which made none lately may make at once, in seconds of its rate. */
const BURST_SECONDS = 4;

const LEAST_BURST = 4;

/**
 * Keeps this VM's calls to the platform within its part of the published rate: the rate that
 * the fleet may use, divided by the listed VMs.
 */
export class CallBudget {
  readonly #fleetRate: number;

  readonly #countVms: () => number;

  #left = LEAST_BURST;

  #filledAt = now();

  /** Takes the calls a second that the whole fleet may make, and how many VMs share them. */
  constructor(fleetRate: number, countVms: () => number) {
    this.#fleetRate = fleetRate;
    this.#countVms = countVms;
  }

  /** Resolves when one more call is within the budget. */
  async take(signal?: AbortSignal): Promise<void> {
    this.#fill();
    this.#left -= 1;
    if (this.#left >= 0) return;
    const waitMs = (-this.#left / this.#rate()) * MS_PER_SECOND;
    await sleep(waitMs, undefined, { signal });
  }

  #rate(): number {
    return this.#fleetRate / this.#countVms();
  }

  #fill(): void {
    const rate = this.#rate();
    const most = Math.max(LEAST_BURST, rate * BURST_SECONDS);
    const instant = now();
    const earned = ((instant - this.#filledAt) * rate) / MS_PER_SECOND;
    this.#left = Math.min(most, this.#left + earned);
    this.#filledAt = instant;
  }
}
