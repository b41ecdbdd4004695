import type { Exchange } from './exchange.js';

/** The open exchanges, by request id: those without a final answer or refusal. */
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

  /** Finds the open exchange of a request. */
  find(requestId: string): Exchange | undefined {
    return this.#open.get(requestId);
  }

  /** Removes and returns an exchange, so that it is ended only once. */
  take(requestId: string): Exchange | undefined {
    const exchange = this.#open.get(requestId);
    this.#open.delete(requestId);
    return exchange;
  }
}
