const MOST_UNPOSTED = 8;

/**
 * Counts the tokens of one attempt and posts them: the first at once, later ones in eights.
 * Hot path: a message to the core for every token would cost as much as reading it.
 */
export class TokenCount {
  readonly #post: (count: number) => void;

  #unposted = 0;

  #total = 0;

  constructor(post: (count: number) => void) {
    this.#post = post;
  }

  /** Number of all tokens so far. */
  get total(): number {
    return this.#total;
  }

  /** Counts tokens that have gone to the caller. */
  add(count: number): void {
    const isFirst = this.#total === 0;
    this.#total += count;
    this.#unposted += count;
    if (isFirst || this.#unposted >= MOST_UNPOSTED) this.flush();
  }

  /** Posts what is not posted yet; to be called before the attempt's end is. */
  flush(): void {
    if (this.#unposted === 0) return;
    const count = this.#unposted;
    this.#unposted = 0;
    this.#post(count);
  }
}
