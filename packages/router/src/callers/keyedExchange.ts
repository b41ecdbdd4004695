import type { Refusal, Request } from '@filbertlatch/core';

import type { StreamEvent } from '../endpoints/streamEvent.js';
import type { Exchange, Payload, ServiceAnswer } from './exchange.js';

/** A whole answer that is kept for a resend. */
export type KeptAnswer =
  | { readonly kind: 'events'; readonly events: readonly StreamEvent[] }
  | { readonly kind: 'service'; readonly answer: ServiceAnswer };

/** Gives a kept answer to a caller. */
export function replayAnswer(exchange: Exchange, answer: KeptAnswer): void {
  if (answer.kind === 'service') exchange.writeAnswer(answer.answer);
  else void exchange.writeEvents(answer.events);
  exchange.finish();
}

/** Returns the bytes that a kept answer takes. */
export function sizeOfAnswer(answer: KeptAnswer): number {
  if (answer.kind === 'service') return Math.max(1, answer.answer.body.length);
  return answer.events.reduce((sum, { data }) => sum + data.length, 1);
}

/** How a keyed exchange ended; the answer is null when it ended in an error or is too large. */
export type OnKeyedEnd = (exchange: KeyedExchange, answer: KeptAnswer | null) => void;

/**
 * The exchange of a request that runs at most once: it outlives its caller, keeps the answer,
 * and gives it to those that sent the same key meanwhile.
 */
export class KeyedExchange implements Exchange {
  readonly request: Request;

  readonly payload: Payload;

  readonly #maxBytes: number;

  readonly #onEnd: OnKeyedEnd;

  readonly #joined: Exchange[] = [];

  readonly #events: StreamEvent[] = [];

  #caller: Exchange | null;

  #service: ServiceAnswer | null = null;

  #bytes = 0;

  constructor(caller: Exchange, maxBytes: number, onEnd: OnKeyedEnd) {
    this.request = caller.request;
    this.payload = caller.payload;
    this.#caller = caller;
    this.#maxBytes = maxBytes;
    this.#onEnd = onEnd;
  }

  /** True while nobody waits for the answer. */
  get isAlone(): boolean {
    return this.#caller === null && this.#joined.length === 0;
  }

  /** Lets another caller with the same key wait for the answer. */
  join(exchange: Exchange): void {
    this.#joined.push(exchange);
  }

  /** Goes on without a caller that has gone. */
  leave(caller: Exchange): void {
    if (this.#caller === caller) this.#caller = null;
    const at = this.#joined.indexOf(caller);
    if (at >= 0) this.#joined.splice(at, 1);
  }

  restart(): void {
    this.#events.length = 0;
    this.#bytes = 0;
    this.#caller?.restart();
  }

  writeEvents(events: readonly StreamEvent[]): void | Promise<void> {
    for (const event of events) this.#keep(event);
    return this.#caller?.writeEvents(events);
  }

  writeAnswer(answer: ServiceAnswer): void {
    this.#service = answer;
    this.#caller?.writeAnswer(answer);
  }

  finish(): void {
    const answer = this.#answer();
    this.#onEnd(this, answer);
    this.#caller?.finish();
    for (const exchange of this.#joined) {
      if (answer === null) exchange.refuse(this.#lostAnswer());
      else replayAnswer(exchange, answer);
    }
  }

  refuse(refusal: Refusal): void {
    this.#onEnd(this, null);
    this.#caller?.refuse(refusal);
    this.#joined.forEach((exchange) => exchange.refuse(refusal));
  }

  #keep(event: StreamEvent): void {
    this.#bytes += event.data.length;
    if (this.#bytes <= this.#maxBytes) this.#events.push(event);
    else this.#events.length = 0;
  }

  #answer(): KeptAnswer | null {
    if (this.#service !== null) return { kind: 'service', answer: this.#service };
    return this.#bytes <= this.#maxBytes ? { kind: 'events', events: this.#events } : null;
  }

  // eslint-disable-next-line class-methods-use-this -- a constant of the class
  #lostAnswer(): Refusal {
    return {
      code: 'key_in_use',
      message: 'The request ran, but its answer was too large to be kept.',
      verdict: 'ran',
      retryable: false,
      retryAfterMs: null,
    };
  }
}
