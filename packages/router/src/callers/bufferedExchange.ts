import type { ServerResponse } from 'node:http';

import type { Refusal, Request } from '@filbertlatch/core';

import { AttemptError } from '../endpoints/attemptError.js';
import type { StreamEvent } from '../endpoints/streamEvent.js';
import { AnswerAssembler } from './answerAssembler.js';
import type { Exchange, Payload, ServiceAnswer } from './exchange.js';
import { refusalBody, refusalHeaders, refusalStatus } from './refusalResponse.js';

/** An exchange that collects the answer and sends it in one response once it is complete. */
export class BufferedExchange implements Exchange {
  readonly request: Request;

  readonly payload: Payload;

  readonly #response: ServerResponse;

  readonly #maxAnswerBytes: number;

  #assembler = new AnswerAssembler();

  #answer: ServiceAnswer | null = null;

  constructor(
    request: Request,
    payload: Payload,
    response: ServerResponse,
    maxAnswerBytes: number,
  ) {
    this.request = request;
    this.payload = payload;
    this.#response = response;
    this.#maxAnswerBytes = maxAnswerBytes;
  }

  restart(): void {
    this.#assembler = new AnswerAssembler();
  }

  writeEvents(events: readonly StreamEvent[]): void {
    for (const { chunk } of events) this.#assembler.add(chunk);
    if (this.#assembler.characterCount <= this.#maxAnswerBytes) return;
    throw new AttemptError('invalid', 'ran', `the answer is over ${this.#maxAnswerBytes} bytes`);
  }

  writeAnswer(answer: ServiceAnswer): void {
    this.#answer = answer;
  }

  finish(): void {
    const { id } = this.request;
    if (this.#answer !== null) {
      const { status, headers, body } = this.#answer;
      this.#response.writeHead(status, { ...headers, 'x-request-id': id });
      this.#response.end(body);
      return;
    }
    const headers = { 'content-type': 'application/json', 'x-request-id': id };
    this.#response.writeHead(200, headers);
    this.#response.end(JSON.stringify(this.#assembler.build(id)));
  }

  refuse(refusal: Refusal): void {
    this.#response.writeHead(refusalStatus(refusal), refusalHeaders(refusal, this.request.id));
    this.#response.end(JSON.stringify(refusalBody(refusal, this.request.id)));
  }
}
