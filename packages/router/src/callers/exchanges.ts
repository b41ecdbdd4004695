import type { Exchange } from './exchange.js';

/** The exchanges that have no final answer yet, by request id. */
export class Exchanges {
  readonly #open = new Map<string, Exchange>();

  /** Number of open exchanges. */
  get size(): number {
    return this.#open.size;
  }

  /** Adds an exchange. */
  add(exchange: Exchange): void {
    this.#open.set(exchange.request.id, exchange);
  }

  /** Finds the exchange of a request that has no final answer yet. */
  find(requestId: string): Exchange | undefined {
    return this.#open.get(requestId);
  }

  /** Takes an exchange out: it gets its final answer now. */
  take(requestId: string): Exchange | undefined {
    const exchange = this.#open.get(requestId);
    this.#open.delete(requestId);
    return exchange;
  }
}
