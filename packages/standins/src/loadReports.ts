const KEPT_MS = 10_000;
const LEAST_GAP_MS = 50;

/** An engine's load at an instant, epoch milliseconds. */
export interface MeasuredLoad {
  readonly measuredAt: number;
  readonly running: number;
  readonly waiting: number;
  readonly waitingTokens: number;
  readonly tokensPerSecond: number;
  readonly models: readonly string[];
}

/** Keeps the load of the last seconds, so that a report can describe a past moment. */
export class LoadReports {
  readonly #measure: () => MeasuredLoad;

  readonly #kept: MeasuredLoad[] = [];

  constructor(measure: () => MeasuredLoad) {
    this.#measure = measure;
  }

  /** Measures again, at most every 50 ms. */
  record(): void {
    const last = this.#kept.at(-1)?.measuredAt ?? 0;
    const now = performance.timeOrigin + performance.now();
    if (now - last < LEAST_GAP_MS) return;
    this.#kept.push(this.#measure());
    while (this.#kept[0]!.measuredAt < now - KEPT_MS) this.#kept.shift();
  }

  /** Returns the load as it was so many milliseconds ago. */
  read(lagMs: number): MeasuredLoad {
    if (lagMs <= 0) return this.#measure();
    const latest = performance.timeOrigin + performance.now() - lagMs;
    const past = this.#kept.filter((load) => load.measuredAt <= latest).at(-1);
    return past ?? this.#kept[0] ?? this.#measure();
  }
}
