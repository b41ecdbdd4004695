import type { IncomingMessage, ServerResponse } from 'node:http';

import { creditRequest, type Placement, type TransitPeer } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import { CrashGuard } from './crashGuard.js';
import { DRAINING_RETRY_AFTER_MS } from './drain.js';
import { EndpointChoice } from './endpointChoice.js';
import type { AttemptFailure } from './endpointRequest.js';
import type { Attempt, AttemptObserver, PeerRefusal, RawAnswerHead } from './attempt.js';
import { AttemptPair } from './attemptPair.js';
import type { CallerAnswer } from './callerAnswer.js';
import { CallerStream } from './callerStream.js';
import type { GatewayContext } from './gatewayContext.js';
import { hasTimeToSend } from './hasTimeToSend.js';
import { dropHopByHopHeaders } from './headers.js';
import type { OriginAnswer } from './originTask.js';
import { SegmentGuard } from './segmentGuard.js';
import { EndpointAttempt } from './endpointAttempt.js';
import { PeerChoice } from './peerChoice.js';
import { describeEnd } from './requestEnd.js';
import type { WholeBody } from './readBody.js';
import { RequestTrace, type RequestTraceFields } from './requestTrace.js';
import { RetryAllowance } from './retryAllowance.js';
import { RetryWait } from './retryWait.js';
import { SilenceTimer } from './silenceTimer.js';
import { StuckWatch } from './stuckWatch.js';
import type { ReceivedRequest } from './handleRequest.js';
import { TransitAttempt } from './transitAttempt.js';

/** Retry delay told to a caller whose request was not run by any endpoint. */
const FAILURE_RETRY_AFTER_MS = 250;

/** Retry delay told to a caller while the links of this VM are late; another VM may serve it. */
const LATE_LINK_RETRY_AFTER_MS = 100;

/** Retry delay told to a caller whose stream no VM that answers knows. */
const UNKNOWN_RETRY_AFTER_MS = 300;

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

  readonly #body: WholeBody;

  readonly #crashGuard: CrashGuard;

  readonly #segmentGuard: SegmentGuard;

  readonly #stream: CallerStream;

  readonly #choice: EndpointChoice;

  readonly #peers: PeerChoice;

  readonly #trace: RequestTrace;

  #stopWatching: (() => void) | null = null;

  /** Ends the wait for a slot; null while the request does not wait. */
  #stopWaiting: (() => void) | null = null;

  readonly #pair: AttemptPair;

  readonly #allowance: RetryAllowance;

  /** Waits before a request that may have run is tried again. */
  readonly #retryWait: RetryWait;

  /** True when an earlier attempt may have run, so that the caller must not be told otherwise. */
  #mayHaveRun = false;

  /** Event after which an endpoint has answered with no other; undefined before. */
  #emptyRestAfter: string | null | undefined;

  #isFinished = false;

  #deadlineTimer: NodeJS.Timeout | null = null;

  readonly #stuckWatch: StuckWatch;

  /** Waits for what peers say of trials. */
  readonly #trialTimer: SilenceTimer;

  #placement: Placement | null = null;

  constructor(
    context: GatewayContext,
    admitted: AdmittedRequest,
    received: ReceivedRequest,
    body: WholeBody,
  ) {
    const { request, response, answer } = received;
    this.#context = context;
    this.#admitted = admitted;
    this.#request = request;
    this.#response = response;
    this.#answer = answer;
    this.#body = body;
    this.#choice = new EndpointChoice(context, admitted);
    this.#stream = new CallerStream(context, admitted, received, this.#choice);
    this.#peers = new PeerChoice(context, admitted);
    this.#allowance = new RetryAllowance(context, admitted);
    this.#retryWait = new RetryWait(context, admitted.job.id);
    this.#trace = new RequestTrace(admitted.arrival, (id) => context.links.provenAt(id));
    this.#pair = this.#createPair();
    this.#stuckWatch = new StuckWatch(context, admitted, (attempt) => this.#handleStuck(attempt));
    this.#trialTimer = new SilenceTimer(context.loopDelay);
    this.#segmentGuard = new SegmentGuard(context, admitted);
    const { accountId } = admitted;
    this.#crashGuard = new CrashGuard(context, this.#segmentGuard, accountId, request, body.body);
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
    const handleDeadline = () => loopDelay.afterPoll(() => this.#endUnfinished('timed_out'));
    this.#deadlineTimer = setTimeout(handleDeadline, Math.max(0, deadlineAt - now()));
    // The VM that carries the request credits it.
    if (this.#peers.choose() === undefined) creditRequest(state.retryBudget, job.serviceId, now());
    if (this.#stream.isTakenUp) void this.#takeUp();
    else this.#send();
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
    const peer = this.#peers.choose();
    if (peer === undefined && this.#pair.held !== null) {
      this.#goBack();
      return;
    }
    // The VM that carries a request checks it.
    if (peer === undefined && this.#crashGuard.isRefused()) {
      this.#failRequest('crashes_endpoints', REFUSED_STATUS);
      return;
    }
    const { deadlineAt, route } = this.#admitted;
    const instant = now();
    if (!hasTimeToSend(deadlineAt, instant)) this.#endUnserved('too_late', 0);
    else if (!this.#mustGoOn() && !this.#context.drain.canEnd(route.id, deadlineAt)) {
      this.#endUnserved('leaving', DRAINING_RETRY_AFTER_MS);
    } else if (this.#context.links.isLate) {
      this.#endUnserved('late_link', LATE_LINK_RETRY_AFTER_MS);
    } else if (peer !== undefined) this.#sendByPeer(peer);
    else this.#sendDirectly(deadlineAt - instant);
  }

  /** True while this VM reaches no endpoint of the service. */
  #isLost(): boolean {
    return this.#context.contacts.isLost(this.#admitted.job.serviceId);
  }

  #sendByPeer(peer: TransitPeer): void {
    this.#peers.markTried(peer.id);
    this.#segmentGuard.release();
    this.#startAttempt((observer) => {
      const attempt = new TransitAttempt(this.#context, this.#admitted, peer, observer);
      attempt.resumedOrigin = this.#choice.origin;
      return attempt;
    });
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
      this.#startAttempt(
        (observer) => new EndpointAttempt(this.#context, this.#admitted, placement, observer),
      );
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

  #createPair(): AttemptPair {
    return new AttemptPair(this.#context.loopDelay, {
      isLost: () => this.#isLost(),
      isUseful: ({ status }) => status < FIRST_SERVER_ERROR_STATUS && !this.#response.headersSent,
      // After the last attempt, one that may still answer is not given up for a VM that says nothing.
      maySucceed: (attempt) => this.#allowance.hasAttempts || attempt.isAtEndpoint,
      wentOn: (attempt) => this.#handleWentOn(attempt),
      replaced: (attempt) => this.#giveUp(attempt),
      heldEnded: (attempt, failure) => this.#handleHeldEnd(attempt, failure),
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
    });
  }

  #startAttempt(create: (observer: AttemptObserver) => Attempt): void {
    const from = this.#pair.current;
    const attempt = this.#pair.begin(create);
    this.#stream.logResume(attempt, from);
    // A held attempt has been silent for longer.
    if (this.#pair.held === null) this.#stuckWatch.recordBytes();
    this.#trace.add(attempt);
    this.#allowance.countAttempt();
    this.#stuckWatch.watch(attempt);
    this.#crashGuard.watch(attempt);
    attempt.send({
      method: this.#request.method ?? 'GET',
      path: this.#request.url ?? '/',
      headers: dropHopByHopHeaders(this.#request.rawHeaders),
      body: this.#body.body,
      held: this.#body.held,
      lastEventId: this.#stream.lastEventId,
      // Two endpoints that have nothing more of a stream show its end; so does one, where no other can be asked.
      acceptsEmptyRest: () => this.#hasEmptyRest() || !this.#tryTakeRetry(),
    });
  }

  #hasEmptyRest(): boolean {
    return this.#emptyRestAfter === this.#stream.lastEventId;
  }

  #handleStuck(attempt: Attempt): void {
    if (attempt !== this.#pair.current || this.#isFinished) return;
    if (!this.#allowance.hasAttempts) return;
    // One that waits for a connection, for its caller to read or for memory is not stuck at its endpoint.
    const isWaiting = !attempt.mayHaveSent || attempt.isPaused === true || this.#stream.isFull;
    if (isWaiting) this.#stuckWatch.watch(attempt);
    else if (this.#pair.held !== null) {
      attempt.cancel('stuck');
      this.#goBack();
    } else if (this.#stuckWatch.isServiceSilent(attempt)) this.#keep(attempt, 'service_silent');
    else if (!this.#isLost() && this.#stuckWatch.startAnew(attempt)) this.#retryWait.reset();
    else if (!this.#canPlace(attempt) || !this.#tryTakeRetry()) this.#keep(attempt, 'no_endpoint');
    else this.#replace(attempt);
  }

  /** True when another attempt would be sent at once, or that attempt is lost. */
  #canPlace(attempt: Attempt): boolean {
    const { deadlineAt } = this.#admitted;
    const instant = now();
    if (this.#context.links.isLate || !hasTimeToSend(deadlineAt, instant)) return false;
    if (this.#peers.choose() !== undefined) return true;
    if (this.#crashGuard.isRefused()) return false;
    // One whose endpoint has crashed brings nothing: a trial, or a wait for one, is better.
    const hasCrashed =
      attempt instanceof EndpointAttempt &&
      this.#segmentGuard.hasCrashed(attempt.endpoint.id, attempt.sentAt);
    if (!hasCrashed && !this.#segmentGuard.isSound()) return false;
    return this.#choice.canPlace(deadlineAt - instant);
  }

  /** Leaves a stuck attempt in place for a while. */
  #keep(attempt: Attempt, reason: string): void {
    this.#peers.allowTried();
    this.#stuckWatch.watch(attempt, this.#retryWait.takeWaitMs(reason));
  }

  /**
   * Replaces a stuck attempt. One without links is held: it may go on before a peer answers that has
   * perhaps none either.
   */
  #replace(attempt: Attempt): void {
    this.#mayHaveRun = true;
    if (attempt.peerId === null && this.#peers.choose() !== undefined) this.#pair.hold();
    else this.#giveUp(attempt);
    this.#send();
  }

  /** Gives an attempt up whose connection is open, since another goes on. */
  #giveUp(attempt: Attempt): void {
    this.#crashGuard.recordUnanswered(attempt);
    attempt.cancel('stuck');
    this.#stream.dropPartial();
  }

  /** Goes back to the held attempt: nothing answers in its place. */
  #goBack(): void {
    const attempt = this.#pair.goBack();
    this.#crashGuard.watch(attempt);
    this.#keep(attempt, 'no_peer');
  }

  #handleWentOn(attempt: Attempt): void {
    this.#crashGuard.watch(attempt);
    this.#stuckWatch.watch(attempt);
    this.#checkLinks();
  }

  /** Looks for links when an attempt goes on in a silent service: its connection alone proves none. */
  #checkLinks(): void {
    if (this.#isLost()) this.#context.contacts.checkAll();
  }

  #handleHeldEnd(attempt: Attempt, failure: AttemptFailure | null): void {
    if (failure?.cause === 'broken') this.#crashGuard.recordBroken(attempt);
    this.#stream.dropPartial();
  }

  #forwardChunk(head: RawAnswerHead, chunk: Buffer): boolean {
    const attempt = this.#pair.current!;
    this.#stuckWatch.recordBytes();
    if (!this.#stream.write(attempt, head, chunk)) return true;
    if (this.#retryWait.reset()) this.#checkLinks();
    if (this.#stream.isResumable) this.#stuckWatch.watch(attempt);
    return !this.#stream.isFull;
  }

  #recordRunTime(): void {
    const { arrival, route } = this.#admitted;
    this.#context.drain.recordRunTime(route.id, now() - arrival.readAt);
  }

  #completeStream(head: RawAnswerHead): void {
    this.#recordRunTime();
    this.#crashGuard.recordAnswer(this.#pair.current!);
    this.#stream.end(this.#pair.current!, head);
    this.#finish('served');
  }

  #completeAnswer(head: RawAnswerHead, body: Buffer): void {
    const { status } = head;
    const isFailure = status >= FIRST_SERVER_ERROR_STATUS;
    if (this.#pair.held !== null) {
      this.#goBack();
      return;
    }
    if (isFailure && this.#tryTakeRetry()) {
      this.#mayHaveRun = true;
      this.#send();
      return;
    }
    if (this.#response.headersSent) {
      if (isFailure && this.#waitToRetry('endpoint_failed')) return;
      // The endpoint that was to resume the stream did not answer with a stream.
      this.#failRequest('endpoint_failed');
      return;
    }
    if (status < FIRST_REDIRECT_STATUS) {
      this.#recordRunTime();
      this.#crashGuard.recordAnswer(this.#pair.current!);
    }
    this.#stream.recordAnswer();
    this.#answer.forward(head, body);
    this.#context.buffers.holdUntilTaken(this.#response, body);
    this.#finish(status < FIRST_CLIENT_ERROR_STATUS ? 'served' : 'failed');
  }

  #handleFailure({ cause }: AttemptFailure): void {
    const attempt = this.#pair.current!;
    if (cause === 'broken') this.#crashGuard.recordBroken(attempt);
    if (cause === 'empty') this.#emptyRestAfter = this.#stream.lastEventId;
    this.#mayHaveRun = true;
    if (this.#pair.held !== null) {
      this.#goBack();
      return;
    }
    this.#stream.dropPartial();
    // Nothing was refused here, and the caller has no part of an answer: it may try another VM.
    const mustWait = cause !== 'malformed' || this.#stream.hasBegun;
    if (mustWait) this.#sendAgain('endpoint_failed');
    else if (this.#tryTakeRetry()) this.#send();
    else this.#failRequest('endpoint_failed');
  }

  /** Sends the request once more, now or later, or ends it. */
  #sendAgain(reason: string): void {
    if (this.#tryTakeRetry()) this.#send();
    else this.#waitOrFail(reason);
  }

  #waitOrFail(reason: string): void {
    if (!this.#waitToRetry(reason)) this.#failRequest(reason);
  }

  /**
   * Takes a retry from the retry budget; false when the request may not run again or a limit is
   * reached.
   */
  #tryTakeRetry(): boolean {
    return this.#allowance.hasAttempts && this.#tryChargeRetryBudget();
  }

  /**
   * Takes a retry from the retry budget; false when it is used up or no untried endpoint may get it.
   */
  #tryChargeRetryBudget(): boolean {
    if (this.#peers.choose() === undefined && !this.#choice.hasPermitted()) return false;
    return this.#allowance.pay();
  }

  /** True for a request that may have run, and may run again: a refusal is no answer to it. */
  #mustGoOn(): boolean {
    return this.#mayHaveRun && this.#allowance.hasAttempts;
  }

  /** Tries a request again later that may have run; false when there is no other end to it. */
  #waitToRetry(reason: string): boolean {
    if (!this.#mustGoOn() || this.#choice.isVersionGone()) return false;
    if (!hasTimeToSend(this.#admitted.deadlineAt, now())) return false;
    this.#retryWait.start(reason, () => {
      this.#peers.allowTried();
      this.#choice.allowTried();
      this.#allowance.forgetNotRun();
      if (this.#isAwaited()) this.#sendAgain(reason);
    });
    return true;
  }

  /** Sends the request to another endpoint after one that did not run it. */
  #handleNotRun(): void {
    const { peerId, mayHaveSent } = this.#pair.current!;
    const isByPeer = peerId !== null;
    // A peer that does not run a request has sent it to no endpoint.
    if (!isByPeer && mayHaveSent) this.#allowance.takeBackNotRun();
    else if (isByPeer || this.#peers.choose() !== undefined) this.#allowance.takeBackUnsent();
    else this.#allowance.takeBackUnreached();
    const mayTry = !this.#allowance.isTurnedAway && this.#tryChargeRetryBudget();
    if (mayTry || this.#choice.isPaused()) this.#send();
    else this.#endUnserved('turned_away', FAILURE_RETRY_AFTER_MS);
  }

  /** Sends the request elsewhere; nothing was sent, so no retry is spent. */
  #handleWithheld(): void {
    this.#allowance.takeBackUnsent();
    this.#send();
  }

  /** Passes on what the VM that carries the request says of it. */
  #handleRefused({ status, reason, retryAfterMs }: PeerRefusal): void {
    const isUnserved = status === UNSERVED_STATUS;
    if (isUnserved) {
      if (reason === 'turned_away') this.#allowance.takeBackNotRun();
      else this.#allowance.takeBackUnsent();
    }
    if (this.#pair.held !== null) {
      this.#goBack();
      return;
    }
    if (isUnserved && this.#waitToRetry(reason)) return;
    const isPromise = status < FIRST_SERVER_ERROR_STATUS || isUnserved;
    if (!isPromise || this.#mayHaveRun) this.#failRequest(reason, isPromise ? undefined : status);
    else this.#answerError(status, reason, retryAfterMs);
  }

  /** Ends a request that no endpoint accepts; retryable unless an earlier attempt may have run. */
  #endUnserved(reason: string, retryAfterMs: number): void {
    if (this.#pair.held !== null) this.#goBack();
    else if (this.#mayHaveRun) this.#waitOrFail(reason);
    else this.#answerError(UNSERVED_STATUS, this.#nameReason(reason), retryAfterMs);
  }

  /** Tells a VM that sent the request whether another could serve it. */
  #nameReason(reason: string): string {
    return this.#admitted.transit !== null && this.#isLost() ? 'out_of_touch' : reason;
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

  /** Ends a request that gets no answer of an endpoint any more. */
  #endUnfinished(reason: 'timed_out' | 'leaving'): void {
    this.#pair.open.forEach((attempt) => attempt.endUnchecked?.());
    if (this.#isFinished) return;
    this.#mayHaveRun ||= this.#pair.current?.mayHaveSent === true;
    this.#pair.open.forEach((attempt) => {
      if (attempt.mayHaveSent) this.#crashGuard.recordUnanswered(attempt);
      attempt.cancel('timed-out');
    });
    if (this.#response.headersSent) this.#failRequest(reason);
    else if (this.#mayHaveRun) this.#answerError(504, reason);
    else this.#answerError(503, reason, FAILURE_RETRY_AFTER_MS);
  }

  #handleCallerLeft(): void {
    if (this.#isFinished) return;
    this.#pair.open.forEach((attempt) => this.#abandon(attempt));
    const { loopDelay, metrics } = this.#context;
    const trace = this.#trace.describe(now(), loopDelay.unreadAgeMs);
    metrics.countAbandoned(trace.place);
    this.#finish('abandoned', trace);
  }

  #abandon(attempt: Attempt): void {
    const { isRepeatable, route } = this.#admitted;
    const mayRun = attempt.mayHaveSent;
    if (mayRun) this.#crashGuard.recordAbandoned(attempt);
    // One that must not run twice may complete at its endpoint: its effect is what the caller asked for.
    const mayComplete =
      mayRun && attempt.peerId === null && !isRepeatable && route.repetition !== 'streaming';
    if (!mayComplete) attempt.cancel('abandoned');
    else setTimeout(() => attempt.cancel('abandoned'), this.#admitted.deadlineAt - now()).unref();
  }

  #finish(outcome: string, trace: RequestTraceFields | null = null): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    if (this.#deadlineTimer !== null) clearTimeout(this.#deadlineTimer);
    this.#stuckWatch.stop();
    this.#trialTimer.stop();
    this.#retryWait.stop();
    this.#pair.stop();
    this.#stopWatching?.();
    this.#stopWaiting?.();
    this.#crashGuard.unwatch();
    this.#segmentGuard.release();
    const { metrics, log, state } = this.#context;
    metrics.countRequest(this.#admitted.route.id, outcome);
    log.decision('request_ended', {
      ...describeEnd(this.#admitted, this.#stream.times, now()),
      outcome,
      configuration: state.routing.configuration?.version,
      placement: this.#placement?.kind,
      predictedMs: Math.round(this.#placement?.predictedMs ?? 0),
      tried: this.#choice.triedIds,
      peers: this.#peers.triedIds,
      from: this.#admitted.transit?.from,
      requestLimit: this.#pair.current?.requestLimit ?? undefined,
      ...this.#crashGuard.describe(),
      ...trace,
    });
  }
}
