import type { Verdict } from '@filbertlatch/core';
import { errors } from 'undici';

import type { EndpointConnections } from './endpointConnections.js';
import { EndlessAnswerError, type GuardedHandler } from './guardedClient.js';

/** An HTTP request as it is sent to an endpoint. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Flat list: name, value, name, value. */
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** Why an attempt ended without a complete answer. */
export interface AttemptFailure {
  readonly verdict: Verdict;
  readonly cause: 'unreachable' | 'broken' | 'malformed' | 'cancelled' | 'withheld';
  readonly message: string;
}

/** Receives the events of an endpoint request; `end` or `fail` is the last one. */
export interface EndpointRequestObserver {
  /** Says whether to send the request, which may have waited for a connection. */
  mayStart?(): boolean;
  /** `isFirst` is true for the answer to the first request on a connection. */
  head(status: number, headers: string[], isFirst: boolean): void;
  /** Returns false to pause reading until `EndpointRequest.resume`. */
  body(chunk: Buffer): boolean;
  end(): void;
  fail(failure: AttemptFailure): void;
}

function decodeHeaders(rawHeaders: readonly Buffer[]): string[] {
  return rawHeaders.map((header) => header.toString('latin1'));
}

/** One HTTP request to one endpoint; tracks whether any byte of it may have been sent. */
export class EndpointRequest {
  readonly #connections: EndpointConnections;

  readonly #observer: EndpointRequestObserver;

  #abort: ((reason: Error) => void) | null = null;

  #resume: (() => void) | null = null;

  #mayHaveSent = false;

  #isOver = false;

  #isCancelled = false;

  #isWithheld = false;

  constructor(connections: EndpointConnections, observer: EndpointRequestObserver) {
    this.#connections = connections;
    this.#observer = observer;
  }

  /** Sends the request. */
  start(outgoing: OutgoingRequest): void {
    const { method, path, headers, body } = outgoing;
    const options = { method, path, headers, body };
    let isFirst = false;
    const handler: GuardedHandler = {
      onConnection: (isNew) => {
        isFirst = isNew;
      },
      onConnect: (abort) => {
        if (this.#isCancelled) {
          abort(new Error('request cancelled before it was sent'));
          return;
        }
        if (this.#observer.mayStart?.() === false) {
          this.#isWithheld = true;
          abort(new Error('endpoint takes no requests any more'));
          return;
        }
        this.#mayHaveSent = true;
        this.#abort = abort;
      },
      onHeaders: (status, rawHeaders, resume) => {
        this.#resume = resume;
        this.#connections.markHeard();
        if (status < 200) return true;
        this.#observer.head(status, decodeHeaders(rawHeaders), isFirst);
        return true;
      },
      onData: (chunk) => {
        this.#connections.markHeard();
        return this.#isOver || this.#observer.body(chunk);
      },
      onComplete: () => this.#complete(),
      onError: (error) => this.#fail(error),
    };
    this.#connections.pool.dispatch(options, handler);
  }

  /** Resumes reading after backpressure. */
  resume(): void {
    this.#resume?.();
  }

  /** Closes the connection so that the endpoint stops working; no event follows. */
  cancel(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#isCancelled = true;
    this.#abort?.(new Error('request cancelled'));
  }

  get #unsentCause(): AttemptFailure['cause'] {
    return this.#isWithheld ? 'withheld' : 'unreachable';
  }

  #complete(): void {
    // undici reports a connection reset as the end of a body without a length.
    if (this.#connections.isResetting) this.#fail(new Error('connection reset within the body'));
    else if (!this.#isOver) {
      this.#isOver = true;
      this.#observer.end();
    }
  }

  #fail(error: Error): void {
    if (this.#isOver) return;
    this.#isOver = true;
    if (this.#mayHaveSent) this.#connections.markBroken();
    const isMalformed =
      error instanceof errors.HTTPParserError || error instanceof EndlessAnswerError;
    const brokenCause = isMalformed ? 'malformed' : 'broken';
    this.#observer.fail({
      verdict: this.#mayHaveSent ? 'may-have-run' : 'not-run',
      cause: this.#mayHaveSent ? brokenCause : this.#unsentCause,
      message: error.message,
    });
  }
}
