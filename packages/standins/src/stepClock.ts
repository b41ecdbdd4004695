const MS_PER_SECOND = 1000;
const MOST_STEPS_AT_ONCE = 4;

/** Says how many steps of an engine's batch are due, so that late timers do not slow it. */
export class StepClock {
  readonly #stepMs: number;

  #last: number;

  #debt = 0;

  constructor(stepMs: number, now: number) {
    this.#stepMs = stepMs;
    this.#last = now;
  }

  /** Returns the steps due at an instant at a part of the usual speed. */
  take(now: number, speed: number): number {
    this.#debt += ((now - this.#last) / this.#stepMs) * speed;
    this.#last = now;
    const due = Math.min(MOST_STEPS_AT_ONCE, Math.floor(this.#debt + 1 / MS_PER_SECOND));
    this.#debt = Math.min(this.#debt - due, 1);
    return due;
  }
}

/**
 * Calls at every multiple of a period after now, and returns how to stop it. Intervals of one
 * period drift together where one is late, and many engines would then step as one.
 */
export function startSteps(periodMs: number, onStep: () => void): () => void {
  const start = performance.now();
  let timer: NodeJS.Timeout;
  const arm = () => {
    const passed = (performance.now() - start) % periodMs;
    timer = setTimeout(
      () => {
        onStep();
        arm();
      },
      Math.ceil(periodMs - passed),
    );
  };
  arm();
  return () => clearTimeout(timer);
}
