import { monitorEventLoopDelay, performance } from 'node:perf_hooks';

const RESOLUTION_MS = 5;
const NS_PER_MS = 1_000_000;

/** How busy the event loop of the experiment itself was. */
export interface LoopUse {
  readonly lagP99Ms: number;
  /** Part of the time in which the loop had work, 0 to 1. */
  readonly busy: number;
}

/** Measures the event loop until it is stopped: a saturated one spoils every latency. */
export class LoopMeter {
  readonly #delay = monitorEventLoopDelay({ resolution: RESOLUTION_MS });

  readonly #start = performance.eventLoopUtilization();

  constructor() {
    this.#delay.enable();
  }

  /** Ends the measurement. */
  stop(): LoopUse {
    this.#delay.disable();
    // The monitor counts its own interval in.
    const lagP99Ms = Math.max(0, this.#delay.percentile(99) / NS_PER_MS - RESOLUTION_MS);
    const { utilization: busy } = performance.eventLoopUtilization(this.#start);
    return { lagP99Ms, busy };
  }
}
