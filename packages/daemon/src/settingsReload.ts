/** Reads settings again when asked: one reading at a time, and one more when asked meanwhile. */
export class SettingsReload {
  readonly #read: () => Promise<void>;

  #isReading = false;

  #isAsked = false;

  /** `read` reads and applies the settings; it reports its own errors and does not reject. */
  constructor(read: () => Promise<void>) {
    this.#read = read;
  }

  /** Asks for the settings as they are now. */
  ask(): void {
    this.#isAsked = true;
    if (!this.#isReading) void this.#readAsked();
  }

  async #readAsked(): Promise<void> {
    this.#isReading = true;
    while (this.#isAsked) {
      this.#isAsked = false;
      await this.#read();
    }
    this.#isReading = false;
  }
}
