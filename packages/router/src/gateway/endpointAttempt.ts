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
import type { AdmittedRequest } from './admitRequest.js';
import { EndpointRequest, type OutgoingRequest, type AttemptFailure } from './endpointRequest.js';
import type { AnswerMetadata } from './dialect.js';
import type { GatewayContext } from './gatewayContext.js';
import { findHeader } from './headers.js';

/** Largest whole answer that is held until it is complete. */
const MAX_ANSWER_BYTES = 16_777_216;

const OK = 200;
const FIRST_REDIRECT = 300;
const FIRST_SERVER_ERROR = 500;

/** Where a run takes place and what was expected of it. */
export interface AttemptPlan {
  readonly endpoint: RegisteredEndpoint;
  /** Prompt tokens that the endpoint is expected to read. */
  readonly tokens: number;
  /** Expected time to the first event or answer, in milliseconds. */
  readonly predictedMs: number;
}

/** Status and headers of an endpoint's answer; headers are name, value, name, value. */
export interface RawAnswerHead {
  readonly status: number;
  readonly headers: readonly string[];
}

/** Takes what comes of a run; all but `streamed` end it. */
export interface AttemptObserver {
  /** Takes bytes of a stream; false pauses the endpoint until `Run.resume`. */
  streamed(start: RawAnswerHead, bytes: Buffer): boolean;
  streamEnded(start: RawAnswerHead): void;
  answered(start: RawAnswerHead, body: Buffer): void;
  /** The endpoint did not run the request. */
  turnedAway(reason: string): void;
  failed(failure: AttemptFailure): void;
}

/** One run of a request at one endpoint: checks the answer and counts the endpoint's load. */
export class EndpointAttempt {
  readonly endpoint: RegisteredEndpoint;

  readonly predictedMs: number;

  readonly sentAt = now();

  readonly #context: GatewayContext;

  readonly #admitted: AdmittedRequest;

  readonly #observer: AttemptObserver;

  readonly #request: EndpointRequest;

  readonly #work: SentWork;

  readonly #chunks: Buffer[] = [];

  #receivedBytes = 0;

  /** Pieces of a stream as they came; as good as always one event each. */
  #streamChunks = 0;

  #rawHead: RawAnswerHead = { status: 0, headers: [] };

  #metadata: AnswerMetadata | null = null;

  #isSettled = false;

  constructor(
    context: GatewayContext,
    admitted: AdmittedRequest,
    { endpoint, tokens, predictedMs }: AttemptPlan,
    observer: AttemptObserver,
  ) {
    this.#context = context;
    this.#admitted = admitted;
    this.#observer = observer;
    this.endpoint = endpoint;
    this.predictedMs = predictedMs;
    const { connections, countFleetVms, state } = context;
    const { maxConnections } = admitted.service;
    this.#request = new EndpointRequest(
      connections.connectionsTo(endpoint, maxConnections, countFleetVms()),
      {
        head: (status, headers) => this.#handleHead(status, headers),
        body: (chunk) => this.#handleBody(chunk),
        end: () => this.#handleEnd(),
        fail: (failure) => this.#fail(failure),
      },
    );
    const { size } = admitted.job;
    const kind = kindOfRoute(state.scheduling, admitted.job);
    const planned = { endpointId: endpoint.id, tokens, predictedMs, kind, size };
    this.#work = startWork(state.scheduling, planned, this.sentAt);
    if (size !== null) recordPrompt(state.scheduling.caches, endpoint.id, size, this.sentAt);
  }

  /** True when the endpoint has begun to answer. */
  get hasAnswered(): boolean {
    return this.#metadata !== null;
  }

  /** Sends the request. */
  send(call: OutgoingRequest): void {
    this.#request.start(call);
  }

  /** Lets a paused endpoint go on. */
  resume(): void {
    this.#request.resume();
  }

  /** Stops the run at the endpoint; the observer hears nothing more. */
  cancel(outcome: 'stuck' | 'timed-out' | 'abandoned'): void {
    if (this.#isSettled) return;
    this.#request.cancel();
    if (outcome === 'stuck') this.#countFailure();
    else if (outcome === 'timed-out' && !this.hasAnswered) this.#observeOutcome(true);
    this.#end(outcome);
  }

  #isStream(): boolean {
    return this.#admitted.route.repetition === 'streaming' && this.#rawHead.status === OK;
  }

  #handleHead(status: number, headers: string[]): void {
    const { dialect } = this.#context;
    this.#rawHead = { status, headers };
    const head = dialect.parseAnswer(status, headers);
    this.#metadata = head;
    const isOther = head.requestId !== null && head.requestId !== this.#admitted.metadata.requestId;
    const isSuccess = status < FIRST_REDIRECT;
    const isForged = isSuccess && (!head.isSigned || head.requestId === null);
    if (isOther) this.#reject('answer to another request');
    else if (isForged) this.#reject('success without a signature');
  }

  #reject(message: string): void {
    this.#request.cancel();
    this.#fail({ verdict: 'may-have-run', cause: 'malformed', message });
  }

  #handleBody(chunk: Buffer): boolean {
    if (this.#isSettled) return true;
    if (this.#isStream()) {
      this.#markStreaming();
      this.#streamChunks += 1;
      return this.#observer.streamed(this.#rawHead, chunk);
    }
    this.#receivedBytes += chunk.length;
    this.#chunks.push(chunk);
    if (this.#receivedBytes > MAX_ANSWER_BYTES) this.#reject('answer too large');
    return true;
  }

  #markStreaming(): void {
    if (this.#work.phase !== 'waiting') return;
    beginStreaming(this.#context.state.scheduling, this.#work, now());
  }

  #handleEnd(): void {
    if (this.#isSettled) return;
    if (this.#isStream()) {
      this.#countSuccess();
      this.#observeStream();
      this.#end('served');
      this.#observer.streamEnded(this.#rawHead);
    } else if (this.#metadata?.isNotRun === true) {
      this.#observeOutcome(true);
      this.#end('turned-away');
      this.#observer.turnedAway(`status ${this.#rawHead.status}`);
    } else {
      this.#completeAnswer();
    }
  }

  #completeAnswer(): void {
    const body = Buffer.concat(this.#chunks);
    const { status, headers } = this.#rawHead;
    const announced = findHeader(headers, 'content-length');
    if (announced !== null && Number(announced) !== body.length && body.length > 0) {
      this.#fail({ verdict: 'may-have-run', cause: 'broken', message: 'answer cut short' });
      return;
    }
    const isFailure = status >= FIRST_SERVER_ERROR;
    if (isFailure) this.#observeOutcome(true);
    else this.#countSuccess();
    this.#end(isFailure ? 'failed' : 'served');
    this.#observer.answered(this.#rawHead, body);
  }

  #fail(failure: AttemptFailure): void {
    if (this.#isSettled) return;
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
    observeStream(scheduling, this.#work, this.#streamChunks, tokensPerEvent, now());
  }

  #observeOutcome(isFailure: boolean): void {
    observeOutcome(this.#context.state.scheduling, this.endpoint.id, isFailure, now());
  }

  #end(outcome: string): void {
    this.#isSettled = true;
    endWork(this.#context.state.scheduling, this.#work);
    this.#context.metrics.countAttempt(this.endpoint.id, outcome);
  }
}
