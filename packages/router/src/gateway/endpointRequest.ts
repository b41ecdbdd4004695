import type { Verdict } from '@filbertlatch/core';
import { errors, type Dispatcher } from 'undici';

import { now } from '../clock.js';
import type { HeldBody } from '../memory/index.js';
import type { EndpointConnections } from './endpointConnections.js';
import { EndlessAnswerError, type GuardedClient, type GuardedHandler } from './guardedClient.js';
import { isFramed } from './headers.js';
import { isConnectionReset } from './isConnectionReset.js';
import type { LoopDelay } from './loopDelay.js';
import { createSendTimes, type SendTimes } from './sendTimes.js';

/** Age of formatted headers, which name the time left, above which they are formatted anew. */
const MAX_HEADER_AGE_MS = 200;

/** Bytes of a body that an endpoint may read together with the head; it may leave more than these unread. */
const MAX_READ_BYTES = 65_536;

/**
 * Time after the end of an answer in which an endpoint that has not read its request closes its socket,
 * which resets the connection; in milliseconds.
 */
const RESET_WATCH_MS = 400;

const PROCESSING_STATUS = 102;
const FIRST_ANSWER_STATUS = 200;

/** An HTTP request as it is sent to an endpoint. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Formats the headers as of now, as a flat list of names and values. */
  readonly formatHeaders: () => string[];
  readonly body: Buffer | null;
  /** Room of the body, which is used until the request ends; null without. */
  readonly held?: HeldBody | null;
}

/** Why an attempt ended without a complete answer. */
export interface AttemptFailure {
  readonly verdict: Verdict;
  readonly cause: 'unreachable' | 'broken' | 'empty' | 'malformed' | 'cancelled' | 'withheld';
  readonly message: string;
}

/** Receives the events of an endpoint request; `end` or `fail` is the last one. */
export interface EndpointRequestObserver {
  /** Says whether the answer is still wanted; the request is dropped otherwise. */
  isAwaited?(): boolean;
  /** Says whether to send the request, which may have waited for a connection. */
  mayStart?(): boolean;
  /** The request leaves this process. */
  sent?(): void;
  /** What answers has said that it handles the request (status 102). */
  processing?(): void;
  /** `isFirst` is true for the answer to the first request on a connection. */
  head(status: number, headers: string[], isFirst: boolean): void;
  /** Returns false to pause reading until `EndpointRequest.resume`. */
  body(chunk: Buffer): boolean;
  /** The connection has ended; the answer ends later, since a reset may follow. */
  ending?(): void;
  end(): void;
  fail(failure: AttemptFailure): void;
}

/** Why a request is not sent although a connection is free for it. */
type Obstacle = 'cancelled' | 'withheld' | 'late' | 'outdated';

/** Thrown instead of sending a request; the connection stays open. */
class UnsentError extends Error {
  override readonly name = 'UnsentError';

  readonly obstacle: Obstacle;

  constructor(obstacle: Obstacle) {
    super(`request not sent: ${obstacle}`);
    this.obstacle = obstacle;
  }
}

function decodeHeaders(rawHeaders: readonly Buffer[]): string[] {
  return rawHeaders.map((header) => header.toString('latin1'));
}

/** One HTTP request to one endpoint; tracks whether any byte of it may have been sent. */
export class EndpointRequest {
  readonly #connections: EndpointConnections;

  readonly #loopDelay: LoopDelay;

  readonly #observer: EndpointRequestObserver;

  #abort: ((reason: Error) => void) | null = null;

  /** Owns the connection on which the request was sent. */
  #client: GuardedClient | null = null;

  #resume: (() => void) | null = null;

  #mayHaveSent = false;

  readonly #times = createSendTimes(now());

  #isOver = false;

  #held: HeldBody | null = null;

  #isWithheld = false;

  #resetWatch: NodeJS.Timeout | null = null;

  constructor(
    connections: EndpointConnections,
    loopDelay: LoopDelay,
    observer: EndpointRequestObserver,
  ) {
    this.#connections = connections;
    this.#loopDelay = loopDelay;
    this.#observer = observer;
  }

  /** When the request left this process and was answered. */
  get times(): SendTimes {
    return this.#times;
  }

  /** True when bytes of the request may have been sent. */
  get mayHaveSent(): boolean {
    return this.#mayHaveSent;
  }

  /** True when the operating system has taken all bytes of the request. */
  get isWritten(): boolean {
    return this.#times.writtenAt !== null;
  }

  /** True when it has ended or was cancelled. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Sends the request, once a connection is free and this process is on time. */
  start(outgoing: OutgoingRequest): void {
    if (this.#held === null && outgoing.held != null && !this.#isOver && !this.#mayHaveSent) {
      this.#held = outgoing.held;
      this.#held.retain();
    }
    this.#dispatch(outgoing, this.#connections.pool);
  }

  #dispatch(outgoing: OutgoingRequest, dispatcher: Dispatcher): void {
    if (this.#isOver) return;
    const { method, path, formatHeaders, body } = outgoing;
    const formattedAt = now();
    const options = { method, path, headers: formatHeaders(), body };
    const isLong = body !== null && body.length > MAX_READ_BYTES;
    let isFirst = false;
    let isUnframed = false;
    let freeClient: GuardedClient | null = null;
    const handler: GuardedHandler = {
      onConnection: (isNew, client) => {
        isFirst = isNew;
        freeClient = client;
      },
      onConnect: (abort) => {
        const obstacle = this.#findObstacle(formattedAt);
        if (obstacle !== null) throw new UnsentError(obstacle);
        this.#mayHaveSent = true;
        this.#abort = abort;
        this.#client = freeClient;
        this.#recordSend(freeClient);
        this.#observer.sent?.();
      },
      onHeaders: (status, rawHeaders, resume) => {
        this.#resume = resume;
        this.#loopDelay.markTurn();
        this.#connections.markHeard();
        if (status === PROCESSING_STATUS && !this.#isOver) this.#observer.processing?.();
        if (status < FIRST_ANSWER_STATUS) return true;
        this.#times.answeredAt ??= now();
        const decodedHeaders = decodeHeaders(rawHeaders);
        isUnframed = !isFramed(decodedHeaders);
        this.#observer.head(status, decodedHeaders, isFirst);
        return true;
      },
      onData: (chunk) => {
        this.#loopDelay.markTurn();
        this.#connections.markHeard();
        const startedAt = now();
        const isRead = this.#isOver || this.#observer.body(chunk);
        this.#loopDelay.addWork(now() - startedAt);
        return isRead;
      },
      onHalfClose: (release) => isLong && isUnframed && this.#watchReset(release),
      onComplete: () => this.#complete(),
      onError: (error) => {
        if (error instanceof UnsentError) {
          this.#handleObstacle(error, outgoing, freeClient ?? dispatcher);
        } else this.#fail(error);
      },
    };
    dispatcher.dispatch(options, handler);
  }

  /**
   * Keeps a connection that has ended for a time: an endpoint that closes its socket with unread bytes resets
   * it. Returns false where the answer ends at once: it is given up, or its request is still being written.
   */
  #watchReset(release: () => void): boolean {
    if (this.#isOver || !this.isWritten) return false;
    this.#resetWatch = setTimeout(release, RESET_WATCH_MS);
    this.#observer.ending?.();
    return true;
  }

  /** Records when the first byte leaves, and the last: a link that is slow or cut takes no more. */
  #recordSend(client: GuardedClient | null): void {
    this.#times.startedAt = now();
    // Written in this turn.
    process.nextTick(() => {
      client?.whenWritten(() => {
        this.#times.writtenAt = now();
        // An endpoint that has the body may never answer.
        this.#held?.release();
        this.#held = null;
      });
    });
  }

  #findObstacle(formattedAt: number): Obstacle | null {
    if (this.#isOver || this.#observer.isAwaited?.() === false) return 'cancelled';
    // What the caller has sent since, a close among it, is read first.
    if (this.#loopDelay.isBehind) return 'late';
    if (this.#observer.mayStart?.() === false) return 'withheld';
    return now() - formattedAt > MAX_HEADER_AGE_MS ? 'outdated' : null;
  }

  #handleObstacle(error: UnsentError, outgoing: OutgoingRequest, client: Dispatcher): void {
    if (error.obstacle === 'late') this.#loopDelay.whenOnTime(() => this.start(outgoing));
    // On the connection that is free, ahead of requests that wait for one.
    else if (error.obstacle === 'outdated') this.#dispatch(outgoing, client);
    else if (error.obstacle === 'withheld') {
      this.#isWithheld = true;
      this.#fail(error);
    } else if (!this.#isOver) this.#end();
  }

  /** Resumes reading after backpressure. */
  resume(): void {
    this.#resume?.();
  }

  /**
   * Closes the connection so that the endpoint stops working; no event follows. What has not reached
   * the endpoint never does.
   */
  cancel(): void {
    if (this.#isOver) return;
    this.#end();
    this.#client?.dropUnsent();
    this.#abort?.(new Error('request cancelled'));
  }

  #end(): void {
    this.#isOver = true;
    if (this.#resetWatch !== null) clearTimeout(this.#resetWatch);
    if (this.#mayHaveSent && this.#times.writtenAt === null) this.#held?.releaseUnwritten();
    else this.#held?.release();
    this.#held = null;
  }

  #unsentCause(error: Error): AttemptFailure['cause'] {
    if (this.#isWithheld) return 'withheld';
    return isConnectionReset(error) ? 'broken' : 'unreachable';
  }

  #complete(): void {
    // undici reports a connection reset as the end of a body without a length.
    if (this.#connections.isResetting) this.#fail(new Error('connection reset within the body'));
    else if (!this.#isOver) {
      this.#end();
      this.#observer.end();
    }
  }

  #fail(error: Error): void {
    if (this.#isOver) return;
    this.#end();
    if (this.#mayHaveSent) this.#connections.markBroken();
    const isMalformed =
      error instanceof errors.HTTPParserError || error instanceof EndlessAnswerError;
    const brokenCause = isMalformed ? 'malformed' : 'broken';
    this.#observer.fail({
      verdict: this.#mayHaveSent ? 'may-have-run' : 'not-run',
      cause: this.#mayHaveSent ? brokenCause : this.#unsentCause(error),
      message: error.message,
    });
  }
}
