/** A counting semaphore; callers without a slot wait in order of arrival. */
export class Slots {
  #free: number;

  readonly #waiting: (() => void)[] = [];

  constructor(count: number) {
    this.#free = count;
  }

  /** Resolves when the caller has a slot. */
  async acquire(): Promise<void> {
    if (this.#free > 0) {
      this.#free -= 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  /** Gives a slot back, to the first caller that waits. */
  release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#free += 1;
    else next();
  }
}
