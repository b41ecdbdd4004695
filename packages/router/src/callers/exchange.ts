import type { Refusal, Request } from '@filbertlatch/core';

import type { StreamEvent } from '../endpoints/streamEvent.js';

/** What a plain service answered. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** What a caller asked for, in the form that goes to the endpoint. */
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

/** One caller's side of a request: owns the response until its final answer. */
export interface Exchange {
  readonly request: Request;
  readonly payload: Payload;
  /** Begins again: the events that come now are those of a new attempt from its first. */
  restart(): void;
  /** Takes events of the answer in order; resolves when the caller can take more. */
  writeEvents(events: readonly StreamEvent[]): void | Promise<void>;
  /** Takes the whole answer of a plain service. */
  writeAnswer(answer: ServiceAnswer): void;
  /** Ends a whole answer. */
  finish(): void;
  /** Ends with an error; never looks like a whole answer. */
  refuse(refusal: Refusal): void;
}
