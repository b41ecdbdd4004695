import type { IncomingMessage, ServerResponse } from 'node:http';

import {
  creditRequest,
  enginePriorityOfRank,
  originOf,
  takeRetry,
  type Placement,
  type RegisteredEndpoint,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import { CrashGuard } from './crashGuard.js';
import { EndpointChoice } from './endpointChoice.js';
import type { AttemptFailure } from './endpointRequest.js';
import { beginForwardedStream, sendErrorAnswer, forwardAnswer } from './callerAnswer.js';
import { EventSplitter } from './eventSplitter.js';
import type { GatewayContext } from './gatewayContext.js';
import { dropHopByHopHeaders } from './headers.js';
import { SegmentGuard } from './segmentGuard.js';
import { EndpointAttempt, type RawAnswerHead, type AttemptPlan } from './endpointAttempt.js';

/** A request is sent only with at least this time left: with less, no answer arrives in time. */
const MIN_SEND_TIME_MS = 20;

/** Attempts not run by their endpoints after which yet another endpoint is tried. */
const MAX_NOT_RUN_ATTEMPTS = 3;

/** A repeatable request is stuck after this many latency targets without an answer. */
const STUCK_TARGET_FACTOR = 2.5;

/** A resumable stream is stalled after this many target gaps without an event. */
const STALL_GAP_FACTOR = 5;

/** Minimum silence of a stream that counts as a stall. */
const MIN_STALL_MS = 900;

/** Retry delay told to a caller whose request was not run by any endpoint. */
const FAILURE_RETRY_AFTER_MS = 250;

/** Retry delay told to a caller whose stream no VM that answers knows. */
const UNKNOWN_RETRY_AFTER_MS = 300;

/** Status of a request that crashes endpoints; no promise that it has not run. */
const REFUSED_STATUS = 500;

/** Status of a request that may have run without an answer. */
const FAILED_STATUS = 502;

const FIRST_REDIRECT_STATUS = 300;
const FIRST_CLIENT_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Handles one request: places it, retries it, forwards the answer and enforces the deadline. */
export class Exchange {
  readonly #context: GatewayContext;

  readonly #admitted: AdmittedRequest;

  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #body: Buffer | null;

  readonly #arrivedAt: number;

  readonly #crashGuard: CrashGuard;

  readonly #segmentGuard: SegmentGuard;

  /** Holds back incomplete events; null unless the route's streams can be resumed. */
  readonly #eventSplitter: EventSplitter | null;

  readonly #choice: EndpointChoice;

  #attempt: EndpointAttempt | null = null;

  /** Attempts so far, without those that their endpoints did not run. */
  #attemptCount = 0;

  #notRunCount = 0;

  /** True when an earlier attempt may have run, so that the caller must not be told otherwise. */
  #mayHaveRun = false;

  /** Instant of the answer, or of the first event of a stream. */
  #firstAnswerAt: number | null = null;

  #lastEventAt: number | null = null;

  /** Longest time between two writes to the caller. */
  #longestPauseMs = 0;

  #isFinished = false;

  #deadlineTimer: NodeJS.Timeout | null = null;

  #stuckTimer: NodeJS.Timeout | null = null;

  #placement: Placement | null = null;

  constructor(
    context: GatewayContext,
    admitted: AdmittedRequest,
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer | null,
    arrivedAt: number,
  ) {
    this.#context = context;
    this.#admitted = admitted;
    this.#request = request;
    this.#response = response;
    this.#body = body;
    this.#arrivedAt = arrivedAt;
    this.#choice = new EndpointChoice(context, admitted);
    this.#segmentGuard = new SegmentGuard(context, admitted);
    const { accountId } = admitted;
    this.#crashGuard = new CrashGuard(context, this.#segmentGuard, accountId, request, body);
    const { repetition, isResumable } = admitted.route;
    this.#eventSplitter = repetition === 'streaming' && isResumable ? new EventSplitter() : null;
  }

  /** Starts to handle the request. */
  start(): void {
    const { deadlineAt, job } = this.#admitted;
    this.#response.on('close', () => this.#handleCallerLeft());
    this.#deadlineTimer = setTimeout(() => this.#handleDeadline(), Math.max(0, deadlineAt - now()));
    const { state } = this.#context;
    creditRequest(state.retryBudget, job.serviceId, now());
    if (this.#isTakenUp()) void this.#takeUp();
    else this.#send();
  }

  /** True when the caller takes up a stream that another request began. */
  #isTakenUp(): boolean {
    return this.#eventSplitter !== null && this.#admitted.metadata.lastEventId !== null;
  }

  /** Sends the request once it is known where its stream may go on. */
  async #takeUp(): Promise<void> {
    const { accountId, metadata, job } = this.#admitted;
    const { resumedRequestId } = metadata;
    const answer = await this.#context.origins.find(accountId, resumedRequestId, job.serviceId);
    if (answer.kind === 'known') this.#choice.origin = answer.origin;
    if (this.#isFinished) return;
    if (answer.kind === 'unknown') this.#endUnserved('unknown_stream', UNKNOWN_RETRY_AFTER_MS);
    else if (this.#choice.isVersionGone()) this.#answerError(503, 'version_gone');
    else this.#send();
  }

  #send(): void {
    if (this.#isFinished) return;
    if (this.#crashGuard.isRefused()) {
      this.#failRequest('crashes_endpoints', REFUSED_STATUS);
      return;
    }
    const remainingMs = this.#admitted.deadlineAt - now();
    if (remainingMs < MIN_SEND_TIME_MS) {
      this.#endUnserved('too_late', 0);
      return;
    }
    const permission = this.#segmentGuard.requestPermission();
    if (permission.kind === 'wait') {
      setTimeout(() => this.#send(), permission.waitMs);
      return;
    }
    if (permission.kind === 'refuse') {
      this.#endUnserved('suspect_prompt', permission.retryAfterMs);
      return;
    }
    const placement = this.#choice.place(remainingMs, permission.kind === 'trial');
    this.#placement = placement;
    if (placement.kind === 'refuse') this.#endUnserved(placement.reason, placement.retryAfterMs);
    else this.#startAttempt(placement, remainingMs);
  }

  #startAttempt(plan: AttemptPlan, remainingMs: number): void {
    const attempt = new EndpointAttempt(this.#context, this.#admitted, plan, {
      streamed: (head, bytes) => this.#forwardChunk(head, bytes),
      livedOn: () => this.#segmentGuard.recordAnswer(),
      streamEnded: (head) => this.#completeStream(head),
      answered: (head, body) => this.#completeAnswer(head, body),
      notRun: () => this.#handleNotRun(),
      withheld: () => this.#handleWithheld(),
      failed: (failure) => this.#handleFailure(failure),
    });
    this.#logResume(attempt);
    this.#attempt = attempt;
    this.#attemptCount += 1;
    this.#choice.markTried(attempt.endpoint.id);
    this.#restartStuckTimer(attempt);
    this.#crashGuard.watch(attempt);
    attempt.send({
      method: this.#request.method ?? 'GET',
      path: this.#request.url ?? '/',
      headers: this.#formatHeaders(attempt.endpoint, remainingMs),
      body: this.#body,
    });
  }

  /** Logs where a stream goes on that another attempt has begun: of this request, or another. */
  #logResume({ endpoint }: EndpointAttempt): void {
    const { job, metadata } = this.#admitted;
    const fields = { requestId: job.id, endpointId: endpoint.id, version: endpoint.version };
    const { log } = this.#context;
    if (this.#response.headersSent) {
      const from = this.#attempt?.endpoint;
      log.decision('stream_resumed', { ...fields, from: from?.id, fromVersion: from?.version });
    } else if (metadata.lastEventId !== null) {
      log.decision('stream_taken_up', { ...fields, resumes: metadata.resumedRequestId });
    }
  }

  #formatHeaders(endpoint: RegisteredEndpoint, remainingMs: number): string[] {
    const { accountId, job } = this.#admitted;
    const { routing } = this.#context.state;
    return this.#context.dialect.formatRequest(dropHopByHopHeaders(this.#request.rawHeaders), {
      endpointId: endpoint.id,
      remainingMs,
      accountId,
      priority: job.size === null ? null : enginePriorityOfRank(routing, job.priority),
      lastEventId: this.#eventSplitter?.lastEventId ?? null,
    });
  }

  /**
   * Restarts the timer that replaces an attempt without an answer or a stalled stream; only requests
   * that may run twice have one.
   */
  #restartStuckTimer(attempt: EndpointAttempt): void {
    if (this.#stuckTimer !== null) clearTimeout(this.#stuckTimer);
    const { isRepeatable, route } = this.#admitted;
    if (!isRepeatable) return;
    const stallMs = Math.max(MIN_STALL_MS, (route.gapTargetMs ?? 0) * STALL_GAP_FACTOR);
    const stuckMs = route.targetMs * STUCK_TARGET_FACTOR;
    const streamFirstEventMs = Math.max(stallMs, stuckMs + attempt.predictedMs);
    const firstAnswerWaitMs = route.repetition === 'streaming' ? streamFirstEventMs : stuckMs;
    const waitMs = attempt.hasAnswered ? stallMs : firstAnswerWaitMs;
    this.#stuckTimer = setTimeout(() => this.#replaceStuckAttempt(attempt), waitMs);
  }

  #replaceStuckAttempt(attempt: EndpointAttempt): void {
    if (attempt !== this.#attempt || this.#isFinished || !this.#tryTakeRetry()) return;
    this.#crashGuard.recordUnanswered(attempt);
    attempt.cancel('stuck');
    this.#context.connections.renew(attempt.endpoint.id);
    this.#mayHaveRun = true;
    this.#eventSplitter?.dropPartial();
    this.#send();
  }

  #forwardChunk(head: RawAnswerHead, chunk: Buffer): boolean {
    const bytes = this.#eventSplitter === null ? chunk : this.#eventSplitter.push(chunk);
    const attempt = this.#attempt!;
    if (bytes.length === 0) return true;
    this.#recordFirstAnswer();
    this.#recordPause();
    if (this.#eventSplitter !== null) this.#restartStuckTimer(attempt);
    this.#beginStream(head);
    if (this.#response.write(bytes)) return true;
    this.#response.once('drain', () => attempt.resume());
    return false;
  }

  #beginStream({ status, headers }: RawAnswerHead): void {
    if (this.#response.headersSent) return;
    if (this.#eventSplitter !== null) this.#recordOrigin();
    beginForwardedStream(this.#response, this.#context.state, status, headers);
  }

  #recordOrigin(): void {
    const { accountId, metadata } = this.#admitted;
    this.#choice.origin ??= originOf(this.#attempt!.endpoint);
    const requestId = this.#isTakenUp() ? metadata.resumedRequestId : metadata.requestId;
    if (requestId !== null) this.#context.origins.record(accountId, requestId, this.#choice.origin);
  }

  #recordFirstAnswer(): void {
    if (this.#firstAnswerAt !== null) return;
    this.#firstAnswerAt = now();
    const { metrics } = this.#context;
    metrics.observeFirstAnswer(this.#admitted.route.id, this.#firstAnswerAt - this.#arrivedAt);
  }

  #recordPause(): void {
    const instant = now();
    if (this.#lastEventAt !== null) {
      this.#longestPauseMs = Math.max(this.#longestPauseMs, instant - this.#lastEventAt);
    }
    this.#lastEventAt = instant;
  }

  #completeStream(head: RawAnswerHead): void {
    this.#crashGuard.recordAnswer(this.#attempt!);
    this.#beginStream(head);
    this.#response.end();
    this.#finish('served');
  }

  #completeAnswer({ status, headers }: RawAnswerHead, body: Buffer): void {
    if (status >= FIRST_SERVER_ERROR_STATUS && this.#tryTakeRetry()) {
      this.#mayHaveRun = true;
      this.#send();
      return;
    }
    if (this.#response.headersSent) {
      // The endpoint that was to resume the stream did not answer with a stream.
      this.#failRequest('endpoint_failed');
      return;
    }
    if (status < FIRST_REDIRECT_STATUS) this.#crashGuard.recordAnswer(this.#attempt!);
    this.#recordFirstAnswer();
    forwardAnswer(this.#response, this.#context.state, status, headers, body);
    this.#finish(status < FIRST_CLIENT_ERROR_STATUS ? 'served' : 'failed');
  }

  #handleFailure({ cause }: AttemptFailure): void {
    const attempt = this.#attempt!;
    if (cause === 'broken') this.#crashGuard.recordBroken(attempt);
    this.#mayHaveRun = true;
    this.#eventSplitter?.dropPartial();
    if (this.#tryTakeRetry()) this.#send();
    else this.#failRequest('endpoint_failed');
  }

  /**
   * Takes a retry from the retry budget; false when the request may not run again or a limit is
   * reached.
   */
  #tryTakeRetry(): boolean {
    const { isRepeatable, route } = this.#admitted;
    return isRepeatable && this.#attemptCount < route.attempts && this.#tryChargeRetryBudget();
  }

  /**
   * Takes a retry from the retry budget; false when it is used up or no untried endpoint may get it.
   */
  #tryChargeRetryBudget(): boolean {
    if (!this.#choice.hasPermitted()) return false;
    const { state, countFleetVms } = this.#context;
    return takeRetry(state.retryBudget, this.#admitted.job.serviceId, countFleetVms(), now());
  }

  /** Sends the request to another endpoint after one that did not run it. */
  #handleNotRun(): void {
    this.#attemptCount -= 1;
    this.#notRunCount += 1;
    if (this.#notRunCount <= MAX_NOT_RUN_ATTEMPTS && this.#tryChargeRetryBudget()) this.#send();
    else if (this.#choice.isPaused()) this.#send();
    else this.#endUnserved('turned_away', FAILURE_RETRY_AFTER_MS);
  }

  /** Sends the request elsewhere; nothing was sent, so no retry is spent. */
  #handleWithheld(): void {
    this.#attemptCount -= 1;
    this.#send();
  }

  /** Ends a request that no endpoint accepts; retryable unless an earlier attempt may have run. */
  #endUnserved(reason: string, retryAfterMs: number): void {
    if (this.#mayHaveRun) this.#failRequest(reason);
    else this.#answerError(503, reason, retryAfterMs);
  }

  #failRequest(reason: string, status = FAILED_STATUS): void {
    if (this.#response.headersSent) {
      this.#response.destroy();
      this.#finish(reason);
      return;
    }
    this.#answerError(status, reason);
  }

  #answerError(status: number, reason: string, retryAfterMs: number | null = null): void {
    sendErrorAnswer(this.#response, this.#context.state, status, reason, retryAfterMs);
    this.#finish(reason);
  }

  #handleDeadline(): void {
    this.#attempt?.endUnchecked();
    if (this.#isFinished) return;
    const attempt = this.#attempt;
    if (attempt !== null) {
      if (!attempt.isOver) this.#crashGuard.recordUnanswered(attempt);
      attempt.cancel('timed-out');
      this.#mayHaveRun = true;
    }
    if (this.#response.headersSent) this.#failRequest('timed_out');
    else if (this.#mayHaveRun) this.#answerError(504, 'timed_out');
    else this.#answerError(503, 'timed_out', FAILURE_RETRY_AFTER_MS);
  }

  #handleCallerLeft(): void {
    if (this.#isFinished) return;
    const { isRepeatable, route } = this.#admitted;
    if (this.#attempt?.isOver === false) this.#crashGuard.recordAbandoned(this.#attempt);
    // A request that must not run twice may complete: its effect is what the caller asked for.
    if (isRepeatable || route.repetition === 'streaming') this.#attempt?.cancel('abandoned');
    this.#finish('abandoned');
  }

  #finish(outcome: string): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    if (this.#deadlineTimer !== null) clearTimeout(this.#deadlineTimer);
    if (this.#stuckTimer !== null) clearTimeout(this.#stuckTimer);
    this.#crashGuard.unwatch();
    this.#segmentGuard.release();
    const { metrics, log, state } = this.#context;
    const { route, job, isReturning } = this.#admitted;
    metrics.countRequest(route.id, outcome);
    log.decision('request_ended', {
      requestId: job.id,
      route: route.id,
      outcome,
      priority: job.priority,
      promptTokens: job.size?.promptTokens,
      outputTokens: job.size?.outputTokens,
      isReturning,
      configuration: state.routing.configuration?.version,
      placement: this.#placement?.kind,
      predictedMs: Math.round(this.#placement?.predictedMs ?? 0),
      tried: this.#choice.triedIds,
      requestLimit: this.#attempt?.requestLimit ?? undefined,
      ...this.#crashGuard.describe(),
      firstMs:
        this.#firstAnswerAt === null ? null : Math.round(this.#firstAnswerAt - this.#arrivedAt),
      longestPauseMs: Math.round(this.#longestPauseMs),
      totalMs: Math.round(now() - this.#arrivedAt),
    });
  }
}
