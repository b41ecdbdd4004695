/** Keeps one value per time slot, for the last few slots only. */
export class SlidingWindow<T> {
  readonly #create: () => T;

  readonly #slotMs: number;

  readonly #slots: { from: number; value: T }[] = [];

  readonly #slotCount: number;

  constructor(create: () => T, slotMs: number, slotCount: number) {
    this.#create = create;
    this.#slotMs = slotMs;
    this.#slotCount = slotCount;
  }

  /** Returns the value of the slot that `now` (epoch milliseconds) falls in, or of a later one. */
  valueAt(now: number): T {
    const from = Math.floor(now / this.#slotMs) * this.#slotMs;
    const last = this.#slots.at(-1);
    if (last !== undefined && last.from >= from) return last.value;
    const value = this.#create();
    this.#slots.push({ from, value });
    if (this.#slots.length > this.#slotCount) this.#slots.shift();
    return value;
  }

  /** Returns the values of the slots that are within the window that ends now. */
  valuesInWindow(now: number): T[] {
    const oldest = now - this.#slotMs * this.#slotCount;
    return this.#slots.filter(({ from }) => from > oldest).map(({ value }) => value);
  }
}
