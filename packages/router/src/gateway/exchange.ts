import type { IncomingMessage, ServerResponse } from 'node:http';

import { creditRequest, takeRetry, type Placement, type TransitPeer } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import { CrashGuard } from './crashGuard.js';
import { DRAINING_RETRY_AFTER_MS } from './drain.js';
import { EndpointChoice } from './endpointChoice.js';
import type { AttemptFailure } from './endpointRequest.js';
import type { Attempt, AttemptObserver, PeerRefusal, RawAnswerHead } from './attempt.js';
import type { CallerAnswer } from './callerAnswer.js';
import { EventSplitter } from './eventSplitter.js';
import type { GatewayContext } from './gatewayContext.js';
import { hasTimeToSend } from './hasTimeToSend.js';
import { dropHopByHopHeaders } from './headers.js';
import type { OriginAnswer } from './originTask.js';
import { SegmentGuard } from './segmentGuard.js';
import { EndpointAttempt } from './endpointAttempt.js';
import { RequestTrace, type RequestTraceFields } from './requestTrace.js';
import { SilenceTimer } from './silenceTimer.js';
import type { ReceivedRequest } from './handleRequest.js';
import { TransitAttempt } from './transitAttempt.js';

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

/** Retry delay told to a caller while the links of this VM are late; another VM may serve it. */
const LATE_LINK_RETRY_AFTER_MS = 100;

/** Retry delay told to a caller whose stream no VM that answers knows. */
const UNKNOWN_RETRY_AFTER_MS = 300;

/** Wait before a stream that a peer cannot resume now is tried again, and how often it is. */
const RESUME_WAIT_MS = 100;
const MAX_RESUME_WAITS = 8;

/** Status of a request that crashes endpoints; no promise that it has not run. */
const REFUSED_STATUS = 500;

/** Status of a request that has not run. */
const UNSERVED_STATUS = 503;

/** Status of a request that may have run without an answer. */
const FAILED_STATUS = 502;

const FIRST_REDIRECT_STATUS = 300;
const FIRST_CLIENT_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

type Refusal = Extract<Placement, { readonly kind: 'refuse' }>;

/** Refusals that end when a slot becomes free. */
const WAITING_REASONS: ReadonlySet<Refusal['reason']> = new Set(['full', 'limited', 'too-late']);

/** Handles one request: places it, retries it, forwards the answer and enforces the deadline. */
export class Exchange {
  readonly #context: GatewayContext;

  readonly #admitted: AdmittedRequest;

  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #answer: CallerAnswer;

  readonly #body: Buffer | null;

  readonly #crashGuard: CrashGuard;

  readonly #segmentGuard: SegmentGuard;

  /** Holds back incomplete events; null unless the route's streams can be resumed. */
  readonly #eventSplitter: EventSplitter | null;

  readonly #choice: EndpointChoice;

  readonly #triedPeers = new Set<string>();

  readonly #trace: RequestTrace;

  #resumeWaits = 0;

  #stopWatching: (() => void) | null = null;

  /** Ends the wait for a slot; null while the request does not wait. */
  #stopWaiting: (() => void) | null = null;

  #attempt: Attempt | null = null;

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

  readonly #stuckTimer: SilenceTimer;

  /** Waits for what peers say of trials. */
  readonly #trialTimer: SilenceTimer;

  #placement: Placement | null = null;

  constructor(
    context: GatewayContext,
    admitted: AdmittedRequest,
    { request, response, answer }: ReceivedRequest,
    body: Buffer | null,
  ) {
    this.#context = context;
    this.#admitted = admitted;
    this.#request = request;
    this.#response = response;
    this.#answer = answer;
    this.#body = body;
    this.#choice = new EndpointChoice(context, admitted);
    this.#trace = new RequestTrace(admitted.arrival, (id) => context.links.provenAt(id));
    this.#stuckTimer = new SilenceTimer(context.loopDelay);
    this.#trialTimer = new SilenceTimer(context.loopDelay);
    this.#segmentGuard = new SegmentGuard(context, admitted);
    const { accountId } = admitted;
    this.#crashGuard = new CrashGuard(context, this.#segmentGuard, accountId, request, body);
    const { repetition, isResumable } = admitted.route;
    const { lastEventId = null, origin = null } = admitted.transit ?? {};
    const isSplit = repetition === 'streaming' && isResumable;
    this.#eventSplitter = isSplit ? new EventSplitter(lastEventId) : null;
    if (isSplit) this.#choice.origin = origin;
  }

  /** Starts to handle the request. */
  start(): void {
    const { deadlineAt, job } = this.#admitted;
    const handleCallerLeft = () => this.#handleCallerLeft();
    this.#response.on('close', handleCallerLeft);
    this.#context.drain.setEnd(this.#response, () => this.#endUnfinished('leaving'));
    this.#stopWatching = this.#context.callers.onLeave(this.#request.socket, handleCallerLeft);
    const { loopDelay, state } = this.#context;
    // An answer may wait to be read.
    const handleDeadline = () => loopDelay.afterPoll(() => this.#handleDeadline());
    this.#deadlineTimer = setTimeout(handleDeadline, Math.max(0, deadlineAt - now()));
    // The VM that carries the request credits it.
    if (this.#choosePeer() === undefined) creditRequest(state.retryBudget, job.serviceId, now());
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
    const { origin } = this.#choice;
    const answer: OriginAnswer =
      origin === null
        ? await this.#context.origins.find(accountId, resumedRequestId, job.serviceId)
        : { kind: 'known', origin };
    if (answer.kind === 'known') this.#choice.origin = answer.origin;
    if (this.#isFinished) return;
    if (answer.kind === 'unknown') this.#endUnserved('unknown_stream', UNKNOWN_RETRY_AFTER_MS);
    else if (this.#choice.isVersionGone()) this.#answerError(503, 'version_gone');
    else this.#send();
  }

  #isAwaited(): boolean {
    return !this.#isFinished && !this.#context.callers.hasLeft(this.#request.socket);
  }

  #send(): void {
    if (!this.#isAwaited()) return;
    const peer = this.#choosePeer();
    // The VM that carries a request checks it.
    if (peer === undefined && this.#crashGuard.isRefused()) {
      this.#failRequest('crashes_endpoints', REFUSED_STATUS);
      return;
    }
    const { deadlineAt, route } = this.#admitted;
    const instant = now();
    if (!hasTimeToSend(deadlineAt, instant)) this.#endUnserved('too_late', 0);
    else if (!this.#context.drain.canEnd(route.id, deadlineAt)) {
      this.#endUnserved('leaving', DRAINING_RETRY_AFTER_MS);
    } else if (this.#context.links.isLate) {
      this.#endUnserved('late_link', LATE_LINK_RETRY_AFTER_MS);
    } else if (peer !== undefined) this.#sendByPeer(peer);
    else this.#sendDirectly(deadlineAt - instant);
  }

  /** Returns the VM by way of which the request goes next; undefined when it goes directly. */
  #choosePeer(): TransitPeer | undefined {
    const { transit, job } = this.#admitted;
    if (transit !== null) return undefined;
    return this.#context.transits.choosePeer(job.serviceId, this.#triedPeers);
  }

  #sendByPeer(peer: TransitPeer): void {
    this.#triedPeers.add(peer.id);
    this.#segmentGuard.release();
    const attempt = new TransitAttempt(this.#context, this.#admitted, peer, this.#createObserver());
    attempt.resumedOrigin = this.#choice.origin;
    this.#startAttempt(attempt);
  }

  #sendDirectly(remainingMs: number): void {
    const permission = this.#segmentGuard.requestPermission();
    if (permission.kind === 'wait') {
      this.#trialTimer.start(permission.waitMs, () => this.#send());
      return;
    }
    if (permission.kind === 'refuse') {
      this.#endUnserved('suspect_prompt', permission.retryAfterMs);
      return;
    }
    const placement = this.#choice.place(remainingMs, permission.kind === 'trial');
    this.#placement = placement;
    if (placement.kind === 'refuse') this.#waitOrRefuse(placement, remainingMs);
    else {
      this.#choice.markTried(placement.endpoint.id);
      const observer = this.#createObserver();
      const attempt = new EndpointAttempt(this.#context, this.#admitted, placement, observer);
      this.#startAttempt(attempt);
    }
  }

  /** Waits for a slot of endpoints that must not turn requests away, or refuses the request. */
  #waitOrRefuse({ reason, retryAfterMs }: Refusal, remainingMs: number): void {
    const { brittle } = this.#context;
    const { job } = this.#admitted;
    const mayWait = brittle.isBrittle(job.serviceId) && WAITING_REASONS.has(reason);
    const refuse = () => this.#endUnserved(reason, retryAfterMs);
    const waitedMs = now() - this.#admitted.arrival.earliestAt;
    this.#stopWaiting = mayWait
      ? brittle.wait(job, waitedMs, remainingMs, { send: () => this.#send(), giveUp: refuse })
      : null;
    if (this.#stopWaiting === null) refuse();
  }

  #createObserver(): AttemptObserver {
    return {
      isAwaited: () => this.#isAwaited(),
      streamed: (head, bytes) => this.#forwardChunk(head, bytes),
      sent: () => this.#answer.confirmSend(),
      livedOn: () => this.#segmentGuard.recordAnswer(),
      streamEnded: (head) => this.#completeStream(head),
      answered: (head, body) => this.#completeAnswer(head, body),
      notRun: () => this.#handleNotRun(),
      withheld: () => this.#handleWithheld(),
      refused: (refusal) => this.#handleRefused(refusal),
      failed: (failure) => this.#handleFailure(failure),
    };
  }

  #startAttempt(attempt: Attempt): void {
    this.#logResume(attempt);
    this.#attempt = attempt;
    this.#trace.add(attempt);
    this.#attemptCount += 1;
    this.#restartStuckTimer(attempt);
    this.#crashGuard.watch(attempt);
    attempt.send({
      method: this.#request.method ?? 'GET',
      path: this.#request.url ?? '/',
      headers: dropHopByHopHeaders(this.#request.rawHeaders),
      body: this.#body,
      lastEventId: this.#eventSplitter?.lastEventId ?? null,
    });
  }

  /** Logs where a stream goes on that another attempt has begun: of this request, or another. */
  #logResume({ endpoint, peerId }: Attempt): void {
    const { job, metadata } = this.#admitted;
    const { id: endpointId, version } = endpoint ?? {};
    const fields = { requestId: job.id, endpointId, version, peer: peerId ?? undefined };
    const { log } = this.#context;
    if (this.#response.headersSent) {
      const from = this.#attempt?.endpoint?.id;
      const fromVersion = this.#choice.origin?.version;
      log.decision('stream_resumed', { ...fields, from, fromVersion });
    } else if (metadata.lastEventId !== null) {
      log.decision('stream_taken_up', { ...fields, resumes: metadata.resumedRequestId });
    }
  }

  /**
   * Restarts the timer that replaces an attempt without an answer or a stalled stream; only requests
   * that may run twice have one.
   */
  #restartStuckTimer(attempt: Attempt): void {
    const { isRepeatable, route } = this.#admitted;
    if (!isRepeatable) return;
    const stallMs = Math.max(MIN_STALL_MS, (route.gapTargetMs ?? 0) * STALL_GAP_FACTOR);
    const stuckMs = route.targetMs * STUCK_TARGET_FACTOR;
    const streamFirstEventMs = Math.max(stallMs, stuckMs + attempt.predictedMs);
    const firstAnswerWaitMs = route.repetition === 'streaming' ? streamFirstEventMs : stuckMs;
    const waitMs = attempt.hasAnswered ? stallMs : firstAnswerWaitMs;
    this.#stuckTimer.start(waitMs, () => this.#replaceStuckAttempt(attempt));
  }

  #replaceStuckAttempt(attempt: Attempt): void {
    if (attempt !== this.#attempt || this.#isFinished) return;
    // One that still waits for a connection is not stuck at its endpoint.
    if (!attempt.mayHaveSent) this.#restartStuckTimer(attempt);
    if (!attempt.mayHaveSent || !this.#tryTakeRetry()) return;
    this.#crashGuard.recordUnanswered(attempt);
    attempt.cancel('stuck');
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

  #beginStream(head: RawAnswerHead): void {
    if (this.#response.headersSent) return;
    if (this.#eventSplitter !== null) this.#recordOrigin();
    this.#answer.beginStream(head, this.#choice.origin);
  }

  #recordOrigin(): void {
    const { accountId, metadata } = this.#admitted;
    this.#choice.origin ??= this.#attempt!.origin;
    const { origin } = this.#choice;
    const requestId = this.#isTakenUp() ? metadata.resumedRequestId : metadata.requestId;
    if (requestId === null || origin === null) return;
    this.#context.origins.record(accountId, requestId, origin);
  }

  #recordFirstAnswer(): void {
    if (this.#firstAnswerAt !== null) return;
    this.#firstAnswerAt = now();
    const { metrics } = this.#context;
    const { arrival, route } = this.#admitted;
    metrics.observeFirstAnswer(route.id, this.#firstAnswerAt - arrival.earliestAt);
  }

  #recordPause(): void {
    const instant = now();
    if (this.#lastEventAt !== null) {
      this.#longestPauseMs = Math.max(this.#longestPauseMs, instant - this.#lastEventAt);
    }
    this.#lastEventAt = instant;
  }

  #recordRunTime(): void {
    const { arrival, route } = this.#admitted;
    this.#context.drain.recordRunTime(route.id, now() - arrival.readAt);
  }

  #completeStream(head: RawAnswerHead): void {
    this.#recordRunTime();
    this.#crashGuard.recordAnswer(this.#attempt!);
    this.#beginStream(head);
    this.#response.end();
    this.#finish('served');
  }

  #completeAnswer(head: RawAnswerHead, body: Buffer): void {
    const { status } = head;
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
    if (status < FIRST_REDIRECT_STATUS) {
      this.#recordRunTime();
      this.#crashGuard.recordAnswer(this.#attempt!);
    }
    this.#recordFirstAnswer();
    this.#answer.forward(head, body);
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
    const { isRepeatable, maxAttempts } = this.#admitted;
    return isRepeatable && this.#attemptCount < maxAttempts && this.#tryChargeRetryBudget();
  }

  /**
   * Takes a retry from the retry budget; false when it is used up or no untried endpoint may get it.
   */
  #tryChargeRetryBudget(): boolean {
    if (this.#choosePeer() === undefined && !this.#choice.hasPermitted()) return false;
    const { state, countFleetVms } = this.#context;
    return takeRetry(state.retryBudget, this.#admitted.job.serviceId, countFleetVms(), now());
  }

  /** Sends the request to another endpoint after one that did not run it. */
  #handleNotRun(): void {
    this.#attemptCount -= 1;
    if (this.#choosePeer() !== undefined) {
      // It reached no endpoint, so no retry is spent.
      this.#send();
      return;
    }
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

  /** Passes on what the VM that carries the request says of it. */
  #handleRefused({ status, reason, retryAfterMs }: PeerRefusal): void {
    const isUnserved = status === UNSERVED_STATUS;
    if (isUnserved && this.#response.headersSent && this.#resumeWaits < MAX_RESUME_WAITS) {
      this.#resumeWaits += 1;
      this.#attemptCount -= 1;
      this.#triedPeers.clear();
      setTimeout(() => this.#send(), RESUME_WAIT_MS);
      return;
    }
    const isPromise = status < FIRST_SERVER_ERROR_STATUS || isUnserved;
    if (!isPromise || this.#mayHaveRun) this.#failRequest(reason, isPromise ? undefined : status);
    else this.#answerError(status, reason, retryAfterMs);
  }

  /** Ends a request that no endpoint accepts; retryable unless an earlier attempt may have run. */
  #endUnserved(reason: string, retryAfterMs: number): void {
    if (this.#mayHaveRun) this.#failRequest(reason);
    else this.#answerError(UNSERVED_STATUS, this.#nameReason(reason), retryAfterMs);
  }

  /** Tells a VM that sent the request whether another could serve it. */
  #nameReason(reason: string): string {
    const { transit, job } = this.#admitted;
    return transit !== null && this.#context.contacts.isLost(job.serviceId)
      ? 'out_of_touch'
      : reason;
  }

  #failRequest(reason: string, status = FAILED_STATUS): void {
    if (this.#response.headersSent) {
      this.#answer.breakOff();
      this.#finish(reason);
      return;
    }
    this.#answerError(status, reason);
  }

  #answerError(status: number, reason: string, retryAfterMs: number | null = null): void {
    this.#answer.sendError(status, reason, retryAfterMs);
    this.#finish(reason);
  }

  #handleDeadline(): void {
    this.#attempt?.endUnchecked?.();
    this.#endUnfinished('timed_out');
  }

  /** Ends a request that gets no answer of an endpoint any more. */
  #endUnfinished(reason: 'timed_out' | 'leaving'): void {
    if (this.#isFinished) return;
    const attempt = this.#attempt;
    if (attempt !== null) {
      if (!attempt.isOver && attempt.mayHaveSent) this.#crashGuard.recordUnanswered(attempt);
      attempt.cancel('timed-out');
      this.#mayHaveRun ||= attempt.mayHaveSent;
    }
    if (this.#response.headersSent) this.#failRequest(reason);
    else if (this.#mayHaveRun) this.#answerError(504, reason);
    else this.#answerError(503, reason, FAILURE_RETRY_AFTER_MS);
  }

  #handleCallerLeft(): void {
    if (this.#isFinished) return;
    const { isRepeatable, route } = this.#admitted;
    const attempt = this.#attempt;
    const mayRun = attempt?.isOver === false && attempt.mayHaveSent;
    if (mayRun) this.#crashGuard.recordAbandoned(attempt);
    // One that must not run twice may complete at its endpoint: its effect is what the caller asked for.
    const mayComplete =
      mayRun && attempt.peerId === null && !isRepeatable && route.repetition !== 'streaming';
    if (!mayComplete) attempt?.cancel('abandoned');
    const { loopDelay, metrics } = this.#context;
    const trace = this.#trace.describe(now(), loopDelay.unreadAgeMs);
    metrics.countAbandoned(trace.place);
    this.#finish('abandoned', trace);
  }

  #finish(outcome: string, trace: RequestTraceFields | null = null): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    if (this.#deadlineTimer !== null) clearTimeout(this.#deadlineTimer);
    this.#stuckTimer.stop();
    this.#trialTimer.stop();
    this.#stopWatching?.();
    this.#stopWaiting?.();
    this.#crashGuard.unwatch();
    this.#segmentGuard.release();
    const { metrics, log, state } = this.#context;
    const { arrival, route, job, isReturning } = this.#admitted;
    const { earliestAt, readAt } = arrival;
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
      peers: this.#triedPeers.size === 0 ? undefined : [...this.#triedPeers],
      from: this.#admitted.transit?.from,
      requestLimit: this.#attempt?.requestLimit ?? undefined,
      ...this.#crashGuard.describe(),
      ...trace,
      unreadMs: Math.round(readAt - earliestAt),
      firstMs: this.#firstAnswerAt === null ? null : Math.round(this.#firstAnswerAt - earliestAt),
      longestPauseMs: Math.round(this.#longestPauseMs),
      totalMs: Math.round(now() - earliestAt),
    });
  }
}
