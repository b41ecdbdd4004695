import { monitorEventLoopDelay, performance } from 'node:perf_hooks';

const SAMPLING_INTERVAL_MS = 5;
const NS_PER_MS = 1_000_000;

/** Lag and load of the event loop of the experiment itself. */
export interface LoopUse {
  readonly lagP99Ms: number;
  /** Fraction of the time in which the loop was active, 0 to 1. */
  readonly busy: number;
}

/** Measures the event loop until `stop`. Latencies measured on a saturated loop are not valid. */
export class LoopMeter {
  readonly #delay = monitorEventLoopDelay({ resolution: SAMPLING_INTERVAL_MS });

  readonly #start = performance.eventLoopUtilization();

  constructor() {
    this.#delay.enable();
  }

  /** Ends the measurement. */
  stop(): LoopUse {
    this.#delay.disable();
    // Recorded delays include the monitor's own sampling interval.
    const lagP99Ms = Math.max(0, this.#delay.percentile(99) / NS_PER_MS - SAMPLING_INTERVAL_MS);
    const { utilization: busy } = performance.eventLoopUtilization(this.#start);
    return { lagP99Ms, busy };
  }
}
