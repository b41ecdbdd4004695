import type { ActionOf, Order, OrderEnd } from '@filbertlatch/core';
import { request } from 'undici';

import { createBoundedAgent, discardBody } from '../bounds/index.js';
import type { Decider } from '../decider/index.js';

const ORDER_TIMEOUT_MS = 5000;
const MAX_ANSWER_BYTES = 1_048_576;
const CONFLICT_STATUS = 409;

/** Sends the core's orders to engines. */
export class OrderTask {
  readonly #decider: Decider;

  readonly #agent = createBoundedAgent({
    headersTimeout: ORDER_TIMEOUT_MS,
    bodyTimeout: ORDER_TIMEOUT_MS,
    connect: { timeout: ORDER_TIMEOUT_MS },
    maxResponseSize: MAX_ANSWER_BYTES,
  });

  constructor(decider: Decider) {
    this.#decider = decider;
  }

  /** Sends an order to an engine and posts the outcome. */
  async issue({ endpoint, order }: ActionOf<'order'>): Promise<void> {
    const end = await this.#send(endpoint.url, order);
    this.#decider.post({ kind: 'order-ended', endpointId: endpoint.id, end });
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(url: string, order: Order): Promise<OrderEnd> {
    try {
      const { statusCode, body } = await request(`${url}/orders`, {
        method: 'POST',
        dispatcher: this.#agent,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
        signal: AbortSignal.timeout(2 * ORDER_TIMEOUT_MS),
      });
      await discardBody(body);
      if (statusCode === CONFLICT_STATUS) return 'fenced';
      return statusCode < 300 ? 'applied' : 'failed';
    } catch {
      // The engine may have applied the order nevertheless: only its load report shows it.
      return 'unknown';
    }
  }
}
