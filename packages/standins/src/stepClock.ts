/** A step counts as due 1/1000 step early, so that rounding errors do not delay it. */
const TOLERANCE_DIVISOR = 1000;
/** Most steps made up for at once; after a longer pause the others are dropped. */
const MAX_DUE_STEPS = 4;

/** Counts the due steps of an engine’s batch, so that late timers do not slow it down. */
export class StepClock {
  readonly #stepMs: number;

  #lastTakenAtMs: number;

  #owedSteps = 0;

  constructor(stepMs: number, now: number) {
    this.#stepMs = stepMs;
    this.#lastTakenAtMs = now;
  }

  /** Returns the number of steps due since the last call; `speed` is a ratio of the normal speed. */
  take(now: number, speed: number): number {
    this.#owedSteps += ((now - this.#lastTakenAtMs) / this.#stepMs) * speed;
    this.#lastTakenAtMs = now;
    const due = Math.min(MAX_DUE_STEPS, Math.floor(this.#owedSteps + 1 / TOLERANCE_DIVISOR));
    this.#owedSteps = Math.min(this.#owedSteps - due, 1);
    return due;
  }
}

/**
 * Calls `onStep` at every multiple of a period from now on; returns a function that stops it.
 * Timers that are restarted for one period shift their phase when one is late; many engines would
 * then drift together and step at once.
 */
export function startSteps(periodMs: number, onStep: () => void): () => void {
  const start = performance.now();
  let timer: NodeJS.Timeout;
  const scheduleNext = () => {
    const passedMs = (performance.now() - start) % periodMs;
    timer = setTimeout(
      () => {
        onStep();
        scheduleNext();
      },
      Math.ceil(periodMs - passedMs),
    );
  };
  scheduleNext();
  return () => clearTimeout(timer);
}
