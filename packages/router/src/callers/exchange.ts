import type { Refusal, Request } from '@filbertlatch/core';

import type { StreamEvent } from '../endpoints/streamEvent.js';

/** The complete HTTP answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** The part of a request that is sent to the endpoint. */
export type Payload =
  | {
      readonly kind: 'generate';
      readonly path: '/v1/chat/completions' | '/v1/completions';
      readonly body: Readonly<Record<string, unknown>>;
    }
  | {
      readonly kind: 'service';
      readonly method: string;
      readonly path: string;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: Buffer;
    };

/** A payload of one kind. */
export type PayloadOf<K extends Payload['kind']> = Extract<Payload, { kind: K }>;

/** The caller's side of a request: writes its response until the answer or refusal is complete. */
export interface Exchange {
  readonly request: Request;
  readonly payload: Payload;
  /** Starts a new attempt: the next events are its own, from the first on. */
  restart(): void;
  /** Takes events of the answer in order; a promise resolves when the caller can take more. */
  writeEvents(events: readonly StreamEvent[]): void | Promise<void>;
  /** Takes the complete answer of a plain service. */
  writeAnswer(answer: ServiceAnswer): void;
  /** Ends the response after a complete answer. */
  finish(): void;
  /** Ends the response with an error; it can't be taken for a complete answer. */
  refuse(refusal: Refusal): void;
}
