import type { IncomingHttpHeaders } from 'node:http';
import { StringDecoder } from 'node:string_decoder';

import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';

import type { Exchange } from '../callers/exchange.js';
import { AttemptError } from './attemptError.js';
import { END_OF_STREAM } from './engineProtocol.js';
import { errorOfStatus } from './errorOfStatus.js';
import { hasToken, readEvent, type StreamEvent } from './streamEvent.js';

/** Longest part of an error response's body that is kept. */
const MAX_ERROR_CHARACTERS = 2000;
/** Longest event; a longer one fails the attempt. */
const MAX_EVENT_CHARACTERS = 1_048_576;
/** Time from the last event of a stream until a response that doesn't end is aborted. */
const RESPONSE_END_TIMEOUT_MS = 1000;
const FIRST_ERROR_STATUS = 400;

/** Callbacks for the progress of an attempt. */
export interface AttemptProgress {
  /** The endpoint accepted the request: its response began without an error status. */
  onAccepted(): void;
  /** So many more tokens arrived and went to the caller. */
  onTokens(count: number): void;
  /** Bytes arrived, or reading resumes after a pause. */
  onBytes(): void;
  /** The caller does not read: reading from the endpoint pauses until the next `onBytes`. */
  onPause(): void;
}

interface ErrorResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  text: string;
}

function countTokens(events: readonly StreamEvent[]): number {
  let tokens = 0;
  for (const event of events) {
    if (hasToken(event)) tokens += 1;
  }
  return tokens;
}

/**
 * Reads the stream of one attempt at an engine and writes its events to the exchange.
 * Hot path: this is a dispatch handler, as a stream with its iterator costs more than all the rest,
 * and it writes all events of one read at once. An error thrown by a handler method closes the
 * connection and arrives at `onResponseError`.
 */
export class StreamReader implements Dispatcher.DispatchHandler {
  /** Resolves with the tokens of a complete stream; rejects with the error that broke it. */
  readonly result: Promise<number>;

  readonly #attemptId: string;

  readonly #exchange: Exchange;

  readonly #progress: AttemptProgress;

  readonly #signal: AbortSignal;

  readonly #decoder = new StringDecoder('utf8');

  readonly #events: StreamEvent[] = [];

  readonly #parser = createParser({
    onEvent: ({ data }) => this.#addEvent(data),
    onError: ({ type }) => {
      if (type !== 'max-buffer-size-exceeded') return;
      throw new AttemptError('malformed', 'ran', 'an event has no end');
    },
    maxBufferSize: MAX_EVENT_CHARACTERS,
  });

  #resolve!: (tokens: number) => void;

  #reject!: (error: unknown) => void;

  #controller: Dispatcher.DispatchController | null = null;

  #endTimer: NodeJS.Timeout | null = null;

  #tokens = 0;

  #isDone = false;

  #errorResponse: ErrorResponse | null = null;

  constructor(
    attemptId: string,
    exchange: Exchange,
    progress: AttemptProgress,
    signal: AbortSignal,
  ) {
    this.#attemptId = attemptId;
    this.#exchange = exchange;
    this.#progress = progress;
    this.#signal = signal;
    this.result = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    signal.addEventListener('abort', this.#abort);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#signal.throwIfAborted();
    this.#controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < FIRST_ERROR_STATUS) {
      this.#progress.onAccepted();
      return;
    }
    this.#errorResponse = { status, headers, text: '' };
    if (headers['content-length'] === '0') this.#failWithResponse(controller, this.#errorResponse);
  }

  onResponseData(controller: Dispatcher.DispatchController, bytes: Buffer): void {
    this.#progress.onBytes();
    const text = this.#decoder.write(bytes);
    if (this.#errorResponse !== null) {
      this.#errorResponse.text = text.slice(0, MAX_ERROR_CHARACTERS);
      this.#failWithResponse(controller, this.#errorResponse);
      return;
    }
    if (this.#isDone) return;
    this.#parser.feed(text);
    if (this.#events.length > 0) this.#passOn(controller);
    if (this.#isDone) this.#finish(controller);
  }

  onResponseEnd(): void {
    this.#clearListeners();
    if (this.#errorResponse !== null) {
      const { status, headers, text } = this.#errorResponse;
      this.#reject(errorOfStatus(status, headers, text));
      return;
    }
    // Has no effect after a complete stream, whose result is settled.
    this.#reject(new AttemptError('truncated', 'ran', 'the stream ended before its last event'));
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#clearListeners();
    this.#reject(error);
  }

  readonly #abort = (): void => {
    const reason = this.#signal.reason as Error;
    this.#reject(reason);
    this.#controller?.abort(reason);
  };

  #addEvent(data: string): void {
    if (this.#isDone) return;
    if (data === END_OF_STREAM) this.#isDone = true;
    else this.#events.push(readEvent(data, this.#attemptId));
  }

  #passOn(controller: Dispatcher.DispatchController): void {
    const arrived = countTokens(this.#events);
    const writable = this.#exchange.writeEvents(this.#events);
    this.#events.length = 0;
    this.#tokens += arrived;
    if (arrived > 0) this.#progress.onTokens(arrived);
    if (writable === undefined) return;
    controller.pause();
    this.#progress.onPause();
    void writable.then(() => {
      this.#progress.onBytes();
      controller.resume();
    });
  }

  /**
   * Fails the attempt and closes its connection: an error response has no id, so that one written
   * once more would pass for the response to the next request.
   */
  #failWithResponse(
    controller: Dispatcher.DispatchController,
    { status, headers, text }: ErrorResponse,
  ): void {
    this.#reject(errorOfStatus(status, headers, text));
    controller.abort(new Error('the response is an error'));
  }

  #finish(controller: Dispatcher.DispatchController): void {
    this.#resolve(this.#tokens);
    const abortUnended = () => controller.abort(new Error('the response has no end'));
    this.#endTimer = setTimeout(abortUnended, RESPONSE_END_TIMEOUT_MS);
  }

  #clearListeners(): void {
    this.#signal.removeEventListener('abort', this.#abort);
    if (this.#endTimer !== null) clearTimeout(this.#endTimer);
  }
}
