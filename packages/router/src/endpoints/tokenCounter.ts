/** Tokens that are collected before they are posted. */
const MAX_UNPOSTED_TOKENS = 8;

/**
 * Counts the tokens of one attempt and posts the counts: the first at once, later ones in batches.
 * Hot path: a message to the core for each token would cost as much as reading the token.
 */
export class TokenCounter {
  readonly #post: (count: number) => void;

  #unpostedTokens = 0;

  #total = 0;

  constructor(post: (count: number) => void) {
    this.#post = post;
  }

  /** Number of tokens counted so far, posted or not. */
  get total(): number {
    return this.#total;
  }

  /** Counts tokens that have gone to the caller. */
  add(count: number): void {
    const isFirst = this.#total === 0;
    this.#total += count;
    this.#unpostedTokens += count;
    if (isFirst || this.#unpostedTokens >= MAX_UNPOSTED_TOKENS) this.flush();
  }

  /** Posts the tokens not posted yet; call it before the end of the attempt is posted. */
  flush(): void {
    if (this.#unpostedTokens === 0) return;
    const count = this.#unpostedTokens;
    this.#unpostedTokens = 0;
    this.#post(count);
  }
}
