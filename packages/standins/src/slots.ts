/** Lets so many run at the same time; others wait in the order they came. */
export class Slots {
  #free: number;

  readonly #waiting: (() => void)[] = [];

  constructor(count: number) {
    this.#free = count;
  }

  /** Resolves when it may run. */
  async take(): Promise<void> {
    if (this.#free > 0) {
      this.#free -= 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  /** Lets the next one run. */
  release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#free += 1;
    else next();
  }
}
