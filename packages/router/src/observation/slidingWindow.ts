/** Keeps values by slots of time, so that a reader sees the last few slots only. */
export class SlidingWindow<T> {
  readonly #create: () => T;

  readonly #slotMs: number;

  readonly #slots: { from: number; value: T }[] = [];

  readonly #most: number;

  constructor(create: () => T, slotMs: number, slots: number) {
    this.#create = create;
    this.#slotMs = slotMs;
    this.#most = slots;
  }

  /** Returns the value of the slot that an instant falls in, epoch milliseconds. */
  current(now: number): T {
    const from = Math.floor(now / this.#slotMs) * this.#slotMs;
    const last = this.#slots.at(-1);
    if (last !== undefined && last.from >= from) return last.value;
    const value = this.#create();
    this.#slots.push({ from, value });
    if (this.#slots.length > this.#most) this.#slots.shift();
    return value;
  }

  /** Returns the values of the slots that are still within the window. */
  within(now: number): T[] {
    const oldest = now - this.#slotMs * this.#most;
    return this.#slots.filter(({ from }) => from > oldest).map(({ value }) => value);
  }
}
