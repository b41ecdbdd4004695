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
