import type { Refusal, Request } from '@filbertlatch/core';

import type { StreamEvent } from '../endpoints/streamEvent.js';
import type { Exchange, Payload, ServiceAnswer } from './exchange.js';

/** A complete answer that is kept for resends of the same key. */
export type KeptAnswer =
  | { readonly kind: 'events'; readonly events: readonly StreamEvent[] }
  | { readonly kind: 'service'; readonly answer: ServiceAnswer };

/** Sends a kept answer to a caller and ends its exchange. */
export function replayAnswer(exchange: Exchange, answer: KeptAnswer): void {
  if (answer.kind === 'service') exchange.writeAnswer(answer.answer);
  else void exchange.writeEvents(answer.events);
  exchange.finish();
}

/** Returns the size of a kept answer: bytes of a body, characters of events; at least 1. */
export function sizeOfAnswer(answer: KeptAnswer): number {
  if (answer.kind === 'service') return Math.max(1, answer.answer.body.length);
  return answer.events.reduce((sum, { data }) => sum + data.length, 1);
}

/** Called at the end of a keyed exchange; the answer is null after an error or if too large. */
export type OnKeyedEnd = (exchange: KeyedExchange, answer: KeptAnswer | null) => void;

/**
 * The exchange of a request with an idempotency key, which runs at most once. It outlives its
 * caller, keeps the answer and sends it to callers that joined with the same key while it ran.
 */
export class KeyedExchange implements Exchange {
  readonly request: Request;

  readonly payload: Payload;

  readonly #maxAnswerBytes: number;

  readonly #onEnd: OnKeyedEnd;

  readonly #joined: Exchange[] = [];

  readonly #events: StreamEvent[] = [];

  #caller: Exchange | null;

  #serviceAnswer: ServiceAnswer | null = null;

  #bytes = 0;

  constructor(caller: Exchange, maxBytes: number, onEnd: OnKeyedEnd) {
    this.request = caller.request;
    this.payload = caller.payload;
    this.#caller = caller;
    this.#maxAnswerBytes = maxBytes;
    this.#onEnd = onEnd;
  }

  /** True when no caller waits for the answer. */
  get isAlone(): boolean {
    return this.#caller === null && this.#joined.length === 0;
  }

  /** Lets another caller with the same key wait for the answer. */
  join(exchange: Exchange): void {
    this.#joined.push(exchange);
  }

  /** Removes a caller that disconnected; the exchange goes on without it. */
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
    this.#serviceAnswer = answer;
    this.#caller?.writeAnswer(answer);
  }

  finish(): void {
    const answer = this.#collectAnswer();
    this.#onEnd(this, answer);
    this.#caller?.finish();
    for (const exchange of this.#joined) {
      if (answer === null) exchange.refuse(this.#answerLostRefusal());
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
    if (this.#bytes <= this.#maxAnswerBytes) this.#events.push(event);
    else this.#events.length = 0;
  }

  #collectAnswer(): KeptAnswer | null {
    if (this.#serviceAnswer !== null) return { kind: 'service', answer: this.#serviceAnswer };
    return this.#bytes <= this.#maxAnswerBytes ? { kind: 'events', events: this.#events } : null;
  }

  // eslint-disable-next-line class-methods-use-this -- a constant of the class
  #answerLostRefusal(): Refusal {
    return {
      code: 'key_in_use',
      message: 'The request ran, but its answer was too large to be kept.',
      verdict: 'ran',
      retryable: false,
      retryAfterMs: null,
    };
  }
}
