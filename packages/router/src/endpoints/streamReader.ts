import type { IncomingHttpHeaders } from 'node:http';
import { StringDecoder } from 'node:string_decoder';

import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';

import type { Exchange } from '../callers/exchange.js';
import { AttemptError } from './attemptError.js';
import { DONE } from './engineProtocol.js';
import { errorOfStatus } from './errorOfStatus.js';
import { hasToken, readEvent, type StreamEvent } from './streamEvent.js';

const LONGEST_ERROR_TEXT = 2000;
const MOST_EVENT_CHARACTERS = 1_048_576;
const END_TIMEOUT_MS = 1000;
const FIRST_ERROR_STATUS = 400;

/** What reading a stream tells while it goes on. */
export interface Progress {
  /** The endpoint has answered that it takes the request. */
  onAccepted(): void;
  onTokens(count: number): void;
  onBytes(): void;
  /** The caller does not read: nothing is read from the endpoint until the next bytes. */
  onPause(): void;
}

function countTokens(events: readonly StreamEvent[]): number {
  let tokens = 0;
  for (const event of events) {
    if (hasToken(event)) tokens += 1;
  }
  return tokens;
}

/**
 * Reads one engine's stream and passes it on; its result is the number of tokens.
 * Hot path: a handler in place of a stream and its iterator, which cost more than all the rest,
 * and one pass and one write a read, however many events the read brought. What the handler's
 * methods throw ends the connection and comes back to `onResponseError`.
 */
export class StreamReader implements Dispatcher.DispatchHandler {
  /** Resolves with the tokens of a whole stream; rejects with what broke it. */
  readonly result: Promise<number>;

  readonly #attemptId: string;

  readonly #exchange: Exchange;

  readonly #progress: Progress;

  readonly #signal: AbortSignal;

  readonly #decoder = new StringDecoder('utf8');

  readonly #events: StreamEvent[] = [];

  readonly #parser = createParser({
    onEvent: ({ data }) => this.#takeEvent(data),
    onError: ({ type }) => {
      if (type !== 'max-buffer-size-exceeded') return;
      throw new AttemptError('malformed', 'ran', 'an event has no end');
    },
    maxBufferSize: MOST_EVENT_CHARACTERS,
  });

  #resolve!: (tokens: number) => void;

  #reject!: (error: unknown) => void;

  #controller: Dispatcher.DispatchController | null = null;

  #endTimer: NodeJS.Timeout | null = null;

  #tokens = 0;

  #isDone = false;

  #failure: { status: number; headers: IncomingHttpHeaders; text: string } | null = null;

  constructor(attemptId: string, exchange: Exchange, progress: Progress, signal: AbortSignal) {
    this.#attemptId = attemptId;
    this.#exchange = exchange;
    this.#progress = progress;
    this.#signal = signal;
    this.result = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    signal.addEventListener('abort', this.#stop);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#signal.throwIfAborted();
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status >= FIRST_ERROR_STATUS) this.#failure = { status, headers, text: '' };
    else this.#progress.onAccepted();
  }

  onResponseData(controller: Dispatcher.DispatchController, bytes: Buffer): void {
    this.#progress.onBytes();
    const text = this.#decoder.write(bytes);
    if (this.#failure !== null) {
      this.#failure.text = (this.#failure.text + text).slice(0, LONGEST_ERROR_TEXT);
      return;
    }
    if (this.#isDone) return;
    this.#parser.feed(text);
    if (this.#events.length > 0) this.#passOn(controller);
    if (this.#isDone) this.#finish(controller);
  }

  onResponseEnd(): void {
    this.#forgetConnection();
    if (this.#failure !== null) {
      const { status, headers, text } = this.#failure;
      this.#reject(errorOfStatus(status, headers, text));
      return;
    }
    // After a whole stream the result is settled, and this has no effect.
    this.#reject(new AttemptError('truncated', 'ran', 'the stream ended before its last event'));
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#forgetConnection();
    this.#reject(error);
  }

  readonly #stop = (): void => {
    const reason = this.#signal.reason as Error;
    this.#reject(reason);
    this.#controller?.abort(reason);
  };

  #takeEvent(data: string): void {
    if (this.#isDone) return;
    if (data === DONE) this.#isDone = true;
    else this.#events.push(readEvent(data, this.#attemptId));
  }

  #passOn(controller: Dispatcher.DispatchController): void {
    const arrived = countTokens(this.#events);
    const room = this.#exchange.writeEvents(this.#events);
    this.#events.length = 0;
    this.#tokens += arrived;
    if (arrived > 0) this.#progress.onTokens(arrived);
    if (room === undefined) return;
    controller.pause();
    this.#progress.onPause();
    void room.then(() => {
      this.#progress.onBytes();
      controller.resume();
    });
  }

  #finish(controller: Dispatcher.DispatchController): void {
    this.#resolve(this.#tokens);
    const late = () => controller.abort(new Error('the response has no end'));
    this.#endTimer = setTimeout(late, END_TIMEOUT_MS);
  }

  #forgetConnection(): void {
    this.#signal.removeEventListener('abort', this.#stop);
    if (this.#endTimer !== null) clearTimeout(this.#endTimer);
  }
}
