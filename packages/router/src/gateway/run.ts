import {
  beginStreaming,
  endWork,
  kindOfRoute,
  observeOutcome,
  observeStream,
  recordFailure,
  recordPrompt,
  recordSuccess,
  startWork,
  type RegisteredEndpoint,
  type SentWork,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedCall } from './admitCall.js';
import { Attempt, type AttemptCall, type AttemptFailure } from './attempt.js';
import type { AnswerHead } from './dialect.js';
import type { GatewayContext } from './gatewayContext.js';
import { findHeader } from './headers.js';

/** Largest whole answer that is held until it is complete. */
const MOST_ANSWER_BYTES = 16_777_216;

const OK = 200;
const FIRST_REDIRECT = 300;
const FIRST_SERVER_ERROR = 500;

/** Where a run takes place and what was expected of it. */
export interface RunPlan {
  readonly endpoint: RegisteredEndpoint;
  /** Prompt tokens that the endpoint is expected to read. */
  readonly tokens: number;
  /** Expected time to the first event or answer, in milliseconds. */
  readonly predictedMs: number;
}

/** Status and headers of an endpoint's answer; headers are name, value, name, value. */
export interface AnswerStart {
  readonly status: number;
  readonly headers: readonly string[];
}

/** Takes what comes of a run; all but `streamed` end it. */
export interface RunObserver {
  /** Takes bytes of a stream; false pauses the endpoint until `Run.resume`. */
  streamed(start: AnswerStart, bytes: Buffer): boolean;
  streamEnded(start: AnswerStart): void;
  answered(start: AnswerStart, body: Buffer): void;
  /** The endpoint did not run the request. */
  turnedAway(reason: string): void;
  failed(failure: AttemptFailure): void;
}

/** One run of a request at one endpoint: checks the answer and counts the endpoint's load. */
export class Run {
  readonly endpoint: RegisteredEndpoint;

  readonly predictedMs: number;

  readonly sentAt = now();

  readonly #context: GatewayContext;

  readonly #admitted: AdmittedCall;

  readonly #observer: RunObserver;

  readonly #attempt: Attempt;

  readonly #work: SentWork;

  readonly #chunks: Buffer[] = [];

  #bytes = 0;

  /** Pieces of a stream as they came; as good as always one event each. */
  #pieces = 0;

  #start: AnswerStart = { status: 0, headers: [] };

  #head: AnswerHead | null = null;

  #isOver = false;

  constructor(
    context: GatewayContext,
    admitted: AdmittedCall,
    { endpoint, tokens, predictedMs }: RunPlan,
    observer: RunObserver,
  ) {
    this.#context = context;
    this.#admitted = admitted;
    this.#observer = observer;
    this.endpoint = endpoint;
    this.predictedMs = predictedMs;
    const { channels, countVms, state } = context;
    const { maxConnections } = admitted.service;
    this.#attempt = new Attempt(channels.channelsOf(endpoint, maxConnections, countVms()), {
      head: (status, headers) => this.#takeHead(status, headers),
      body: (chunk) => this.#takeBody(chunk),
      end: () => this.#takeEnd(),
      fail: (failure) => this.#fail(failure),
    });
    const { size } = admitted.job;
    const kind = kindOfRoute(state.scheduling, admitted.job);
    const planned = { endpointId: endpoint.id, tokens, predictedMs, kind, size };
    this.#work = startWork(state.scheduling, planned, this.sentAt);
    if (size !== null) recordPrompt(state.scheduling.caches, endpoint.id, size, this.sentAt);
  }

  /** True when the endpoint has begun to answer. */
  get hasAnswered(): boolean {
    return this.#head !== null;
  }

  /** Sends the request. */
  send(call: AttemptCall): void {
    this.#attempt.start(call);
  }

  /** Lets a paused endpoint go on. */
  resume(): void {
    this.#attempt.resume();
  }

  /** Stops the run at the endpoint; the observer hears nothing more. */
  cancel(outcome: 'stuck' | 'timed-out' | 'abandoned'): void {
    if (this.#isOver) return;
    this.#attempt.cancel();
    if (outcome === 'stuck') this.#countFailure();
    else if (outcome === 'timed-out' && !this.hasAnswered) this.#observeOutcome(true);
    this.#end(outcome);
  }

  #isStream(): boolean {
    return this.#admitted.route.repetition === 'streaming' && this.#start.status === OK;
  }

  #takeHead(status: number, headers: string[]): void {
    const { dialect } = this.#context;
    this.#start = { status, headers };
    const head = dialect.readAnswer(status, headers);
    this.#head = head;
    const isOther = head.requestId !== null && head.requestId !== this.#admitted.call.requestId;
    const isSuccess = status < FIRST_REDIRECT;
    const isForged = isSuccess && (!head.isSigned || head.requestId === null);
    if (isOther) this.#reject('answer to another request');
    else if (isForged) this.#reject('success without a signature');
  }

  #reject(message: string): void {
    this.#attempt.cancel();
    this.#fail({ verdict: 'may-have-run', cause: 'malformed', message });
  }

  #takeBody(chunk: Buffer): boolean {
    if (this.#isOver) return true;
    if (this.#isStream()) {
      this.#noteFirstEvent();
      this.#pieces += 1;
      return this.#observer.streamed(this.#start, chunk);
    }
    this.#bytes += chunk.length;
    this.#chunks.push(chunk);
    if (this.#bytes > MOST_ANSWER_BYTES) this.#reject('answer too large');
    return true;
  }

  #noteFirstEvent(): void {
    if (this.#work.phase !== 'waiting') return;
    beginStreaming(this.#context.state.scheduling, this.#work, now());
  }

  #takeEnd(): void {
    if (this.#isOver) return;
    if (this.#isStream()) {
      this.#countSuccess();
      this.#observeStream();
      this.#end('served');
      this.#observer.streamEnded(this.#start);
    } else if (this.#head?.isNotRun === true) {
      this.#observeOutcome(true);
      this.#end('turned-away');
      this.#observer.turnedAway(`status ${this.#start.status}`);
    } else {
      this.#takeWhole();
    }
  }

  #takeWhole(): void {
    const body = Buffer.concat(this.#chunks);
    const { status, headers } = this.#start;
    const announced = findHeader(headers, 'content-length');
    if (announced !== null && Number(announced) !== body.length && body.length > 0) {
      this.#fail({ verdict: 'may-have-run', cause: 'broken', message: 'answer cut short' });
      return;
    }
    const isFailure = status >= FIRST_SERVER_ERROR;
    if (isFailure) this.#observeOutcome(true);
    else this.#countSuccess();
    this.#end(isFailure ? 'failed' : 'served');
    this.#observer.answered(this.#start, body);
  }

  #fail(failure: AttemptFailure): void {
    if (this.#isOver) return;
    this.#countFailure();
    this.#end(failure.cause);
    const { log } = this.#context;
    log.decision('attempt_failed', {
      requestId: this.#admitted.job.id,
      endpointId: this.endpoint.id,
      verdict: failure.verdict,
      cause: failure.cause,
      error: failure.message,
      sinceSentMs: Math.round(now() - this.sentAt),
    });
    if (failure.verdict === 'not-run') this.#observer.turnedAway(failure.message);
    else this.#observer.failed(failure);
  }

  #countSuccess(): void {
    this.#observeOutcome(false);
    recordSuccess(this.#context.state.health, this.endpoint.id);
  }

  #countFailure(): void {
    this.#observeOutcome(true);
    const { state, log } = this.#context;
    if (recordFailure(state.health, this.endpoint.id, now())) {
      log.change('endpoint_ejected', { endpointId: this.endpoint.id });
    }
  }

  #observeStream(): void {
    const { tokensPerEvent } = this.#admitted.job;
    const { scheduling } = this.#context.state;
    observeStream(scheduling, this.#work, this.#pieces, tokensPerEvent, now());
  }

  #observeOutcome(isFailure: boolean): void {
    observeOutcome(this.#context.state.scheduling, this.endpoint.id, isFailure, now());
  }

  #end(outcome: string): void {
    this.#isOver = true;
    endWork(this.#context.state.scheduling, this.#work);
    this.#context.metrics.countAttempt(this.endpoint.id, outcome);
  }
}
