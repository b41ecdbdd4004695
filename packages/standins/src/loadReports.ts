/** Age at which measurements are dropped. */
const HISTORY_MS = 10_000;
/** Least time between two recorded measurements. */
const MIN_INTERVAL_MS = 50;

/** An engine’s load report. */
export interface MeasuredLoad {
  /** Epoch milliseconds. */
  readonly measuredAt: number;
  /** Streams in the batch. */
  readonly running: number;
  /** Streams in the queue. */
  readonly waiting: number;
  /** Prompt tokens of the streams in the queue. */
  readonly waitingTokens: number;
  /** Output tokens a second of the batch. */
  readonly tokensPerSecond: number;
  /** Models that can be served, as `id@version`. */
  readonly models: readonly string[];
}

/** Records the load of the last 10 s, so that a report can be given as of a past time. */
export class LoadReports {
  readonly #measure: () => MeasuredLoad;

  readonly #history: MeasuredLoad[] = [];

  constructor(measure: () => MeasuredLoad) {
    this.#measure = measure;
  }

  /** Records a measurement, at most one every 50 ms. */
  record(): void {
    const lastMeasuredAt = this.#history.at(-1)?.measuredAt ?? 0;
    const now = performance.timeOrigin + performance.now();
    if (now - lastMeasuredAt < MIN_INTERVAL_MS) return;
    this.#history.push(this.#measure());
    while (this.#history[0]!.measuredAt < now - HISTORY_MS) this.#history.shift();
  }

  /** Returns the latest record at least `lagMs` old, else the oldest one; a lag of 0 measures now. */
  read(lagMs: number): MeasuredLoad {
    if (lagMs <= 0) return this.#measure();
    const latest = performance.timeOrigin + performance.now() - lagMs;
    const past = this.#history.filter((load) => load.measuredAt <= latest).at(-1);
    return past ?? this.#history[0] ?? this.#measure();
  }
}
