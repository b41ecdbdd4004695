import {
  getRequestLimit,
  recordFirstEvent,
  recordEnd,
  hasLostAttempts,
  isTakingRequests,
  kindOfRoute,
  recordOutcome,
  recordStepPace,
  recordFailure,
  recordReads,
  recordSuccess,
  recordSend,
  silenceOf,
  enginePriorityOfRank,
  originOf,
  type RegisteredEndpoint,
  type SentWork,
  type StreamOrigin,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import { AnswerBody, MAX_ANSWER_BYTES } from './answerBody.js';
import type { Attempt, AttemptObserver, AttemptRequest, RawAnswerHead } from './attempt.js';
import { EndProof } from './endProof.js';
import { EndpointRequest, type AttemptFailure } from './endpointRequest.js';
import { hasTimeToSend } from './hasTimeToSend.js';
import type { SendTimes } from './sendTimes.js';
import type { AnswerMetadata } from './dialect.js';
import { findAnswerFault } from './findAnswerFault.js';
import type { GatewayContext } from './gatewayContext.js';
import type { Liveness } from './livenessTask.js';
import { findHeader, isFramed } from './headers.js';
import { ResumedEvents } from './resumedEvents.js';
import { StreamProgress } from './streamProgress.js';

/** Outcomes after which the endpoint has the request no more. */
const ANSWERED_OUTCOMES = new Set(['served', 'failed', 'turned-away', 'empty']);

/** What shows that an answer whose end only the connection tells is whole. */
const PROVEN_ENDS: ReadonlySet<Liveness> = new Set<Liveness>(['alive', 'open']);

/** Causes that say nothing against an endpoint. */
const SOUND_CAUSES: ReadonlySet<AttemptFailure['cause']> = new Set<AttemptFailure['cause']>([
  'empty',
  'withheld',
]);

const OK_STATUS = 200;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Statuses of answers that have no body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Endpoint of an attempt and its expected cost. */
export interface AttemptPlan {
  readonly endpoint: RegisteredEndpoint;
  /** Prompt tokens that the endpoint is expected to prefill. */
  readonly tokens: number;
  /** Expected time to the first event or answer, in milliseconds. */
  readonly predictedMs: number;
}

/**
 * One attempt of a request at one endpoint: validates the answer and accounts for load and health.
 */
export class EndpointAttempt implements Attempt {
  readonly peerId = null;

  readonly endpoint: RegisteredEndpoint;

  /** Expected time to the first event or answer, in milliseconds. */
  readonly predictedMs: number;

  /** Epoch milliseconds. */
  readonly sentAt = now();

  /** Limit of the endpoint that this VM knew when it sent the request; null without one. */
  readonly requestLimit: number | null;

  readonly #context: GatewayContext;

  readonly #admitted: AdmittedRequest;

  readonly #observer: AttemptObserver;

  readonly #request: EndpointRequest;

  readonly #work: SentWork;

  readonly #body: AnswerBody;

  readonly #stream = new StreamProgress();

  #method = '';

  #rawHead: RawAnswerHead = { status: 0, headers: [] };

  #metadata: AnswerMetadata | null = null;

  #isSettled = false;

  /** Null unless the answer goes on with a stream that another attempt has begun. */
  #resumedEvents: ResumedEvents | null = null;

  #acceptsEmptyRest: (() => boolean) | null = null;

  #heardAt = this.sentAt;

  #liveness: Liveness | null = null;

  readonly #endProof: EndProof;

  /** True while the end of the answer waits for a check of the endpoint, or for a reset that may follow. */
  #isEnding = false;

  #endCheck: Promise<Liveness> | null = null;

  /** What the check of the end has shown; null before. */
  #checkedLiveness: Liveness | null = null;

  constructor(
    context: GatewayContext,
    admitted: AdmittedRequest,
    { endpoint, tokens, predictedMs }: AttemptPlan,
    observer: AttemptObserver,
  ) {
    this.#context = context;
    this.#admitted = admitted;
    this.#observer = observer;
    this.#body = new AnswerBody(
      context.buffers,
      (message) => this.#reject(message),
      () => this.resume(),
    );
    this.#endProof = new EndProof(context.liveness, endpoint, context.log);
    this.endpoint = endpoint;
    this.predictedMs = predictedMs;
    const { connections, countFleetVms, limits, state } = context;
    this.requestLimit = getRequestLimit(state.requestLimits, endpoint.id);
    limits.recordSend(endpoint.id);
    context.brittle.begin(endpoint.id);
    const { maxConnections } = admitted.service;
    this.#request = new EndpointRequest(
      connections.getConnections(endpoint, maxConnections, countFleetVms()),
      context.loopDelay,
      {
        isAwaited: () => observer.isAwaited(),
        mayStart: () =>
          isTakingRequests(state.directory, endpoint.id) &&
          context.pauses.leftMs(endpoint) === 0 &&
          !context.links.isLate &&
          hasTimeToSend(admitted.deadlineAt, now()),
        sent: () => {
          this.#endProof.recordSend();
          observer.sent();
        },
        head: (status, headers, isFirst) => this.#handleHead(status, headers, isFirst),
        body: (chunk) => this.#handleBody(chunk),
        ending: () => this.#handleEnding(),
        end: () => this.#handleEnd(),
        fail: (failure) => this.#fail(failure),
      },
    );
    const { size } = admitted.job;
    const kind = kindOfRoute(state.scheduling, admitted.job);
    const planned = { endpointId: endpoint.id, tokens, predictedMs, kind, size };
    this.#work = recordSend(state.scheduling, planned, this.sentAt);
    if (size !== null) recordReads(state.scheduling.prefixCaches, endpoint.id, size, this.sentAt);
  }

  /** True when it has ended or was cancelled. */
  get isOver(): boolean {
    return this.#isSettled;
  }

  get origin(): StreamOrigin {
    return originOf(this.endpoint);
  }

  get mayHaveSent(): boolean {
    return this.#request.mayHaveSent;
  }

  get isAtEndpoint(): boolean {
    return this.mayHaveSent;
  }

  get times(): SendTimes {
    return this.#request.times;
  }

  get isPaused(): boolean {
    return this.#body.isPaused;
  }

  /** True when the status and headers have arrived. */
  get hasAnswered(): boolean {
    return this.#metadata !== null;
  }

  /** Time of its latest bytes, or of the send before the first; epoch milliseconds. */
  get heardAt(): number {
    return this.isPaused ? now() : this.#heardAt;
  }

  /** True when the endpoint has lived on after it began to answer. */
  get hasLivedOn(): boolean {
    return this.#stream.hasLivedOn;
  }

  /** What a check has shown of the endpoint after its answer; null without a check. */
  get liveness(): Liveness | null {
    return this.#liveness;
  }

  /** True when the whole answer has arrived for certain, not only as far as its connection tells. */
  get hasCertainEnd(): boolean {
    return isFramed(this.#rawHead.headers) || this.#liveness === 'alive';
  }

  /** Ends an answer whose end is being checked by what is known, when there is no time left. */
  endUnchecked(): void {
    if (!this.#isEnding) return;
    if (!this.#request.isOver) {
      this.#request.cancel();
      this.#handleEnd();
    }
    this.#handleCheckedEnd(this.#checkedLiveness ?? 'unknown');
  }

  /** Sends the request. */
  send(request: AttemptRequest): void {
    const { method, path, headers, body, held, lastEventId, acceptsEmptyRest } = request;
    this.#method = method;
    this.#acceptsEmptyRest = acceptsEmptyRest;
    const { accountId, deadlineAt, job } = this.#admitted;
    const { dialect, state } = this.#context;
    const resumedAfter = lastEventId ?? this.#admitted.metadata.lastEventId;
    if (resumedAfter !== null) this.#resumedEvents = new ResumedEvents(resumedAfter);
    const priority = job.size === null ? null : enginePriorityOfRank(state.routing, job.priority);
    const endpointId = this.endpoint.id;
    const formatHeaders = () => {
      const remainingMs = Math.max(0, deadlineAt - now());
      const metadata = { endpointId, remainingMs, accountId, priority, lastEventId };
      return dialect.formatRequest(headers, metadata);
    };
    this.#request.start({ method, path, formatHeaders, body, held });
  }

  /** Resumes a paused stream. */
  resume(): void {
    this.#request.resume();
  }

  /** Cancels the attempt; the observer receives no further events. */
  cancel(outcome: 'stuck' | 'timed-out' | 'abandoned'): void {
    if (this.#isSettled) return;
    this.#request.cancel();
    if (outcome === 'stuck') {
      this.#countFailure();
      if (!this.#isServiceSilent()) this.#context.connections.renew(this.endpoint.id);
    } else if (outcome === 'timed-out' && !this.hasAnswered && this.mayHaveSent) {
      this.#observeOutcome(true);
    }
    this.#end(outcome);
  }

  /** True when its endpoint is silent as all others are: connections outlive that, or a loss renews them. */
  #isServiceSilent(): boolean {
    const { contacts, state } = this.#context;
    const { serviceId } = this.endpoint;
    return contacts.isLost(serviceId) || silenceOf(state.contacts, serviceId) !== null;
  }

  #isStream(): boolean {
    return this.#admitted.route.repetition === 'streaming' && this.#rawHead.status === OK_STATUS;
  }

  #handleHead(status: number, headers: string[], isFirst: boolean): void {
    const { contacts, dialect } = this.#context;
    this.#heardAt = now();
    contacts.recordRoundTrip(this.times.startedAt ?? this.sentAt);
    this.#rawHead = { status, headers };
    this.#endProof.recordHead(this.#needsEndProof());
    const metadata = dialect.parseAnswer(status, headers);
    this.#metadata = metadata;
    const expected = { isResumed: this.#resumedEvents !== null, isFirst };
    const fault = findAnswerFault(this.#rawHead, metadata, this.#admitted, expected);
    if (fault !== null) this.#reject(fault);
    else if (this.#isTooLong()) this.#reject('answer exceeds the size limit');
    else {
      this.#recordTerms(status, metadata);
      if (metadata.isNotRun && metadata.requestId === null) {
        // Closes the connection, on which this refusal could come once more.
        this.#request.cancel();
        this.#turnAway(metadata);
      } else if (!this.#isStream()) this.#expectBody(headers);
    }
  }

  /** True when a crash of the endpoint would look like the end of its answer. */
  #needsEndProof(): boolean {
    const { headers, status } = this.#rawHead;
    const hasBody = this.#method !== 'HEAD' && !BODILESS_STATUSES.has(status);
    return hasBody && !isFramed(headers) && status < FIRST_SERVER_ERROR_STATUS;
  }

  #expectBody(headers: readonly string[]): void {
    const length = findHeader(headers, 'content-length');
    if (length !== null) this.#body.expect(Number(length));
  }

  #isTooLong(): boolean {
    if (this.#isStream()) return false;
    return Number(findHeader(this.#rawHead.headers, 'content-length')) > MAX_ANSWER_BYTES;
  }

  /** Records what the endpoint says of the requests that it wants. */
  #recordTerms(status: number, metadata: AnswerMetadata): void {
    const { departures, limits, pauses } = this.#context;
    const answered = { endpointId: this.endpoint.id, sentAt: this.sentAt };
    limits.recordAnswer(answered, status, metadata);
    departures.recordAnswer(this.endpoint, status, metadata);
    pauses.recordAnswer(this.endpoint, status, metadata);
    this.#context.brittle.recordAnswer(this.endpoint, this.sentAt, status, metadata);
  }

  #reject(message: string): void {
    this.#request.cancel();
    this.#fail({ verdict: 'may-have-run', cause: 'malformed', message });
  }

  #handleBody(chunk: Buffer): boolean {
    if (this.#isSettled) return true;
    this.#endProof.recordBytes();
    if (this.#isStream()) return this.#handleEvents(chunk);
    return this.#body.push(chunk);
  }

  #handleEvents(chunk: Buffer): boolean {
    this.#heardAt = now();
    this.#markStreaming();
    const earliestAt = () => this.#context.loopDelay.earliestArrivalAt;
    if (this.#stream.push(chunk, this.#heardAt, earliestAt)) this.#observer.livedOn();
    const bytes = this.#resumedEvents?.push(chunk) ?? chunk;
    const hasBegunAgain = this.#resumedEvents?.hasBegunAgain === true;
    if (this.#stream.isOverlong) this.#reject('event exceeds the size limit');
    else if (hasBegunAgain) this.#reject('stream begins again instead of going on');
    else return this.#observer.streamed(this.#rawHead, bytes);
    return true;
  }

  #markStreaming(): void {
    if (this.#work.phase !== 'waiting') return;
    recordFirstEvent(this.#context.state.scheduling, this.#work, now());
  }

  /** Checks the endpoint at once, though a reset may still follow: later another process may have its port. */
  #handleEnding(): void {
    if (this.#isSettled) return;
    this.#isEnding = true;
    if (this.#needsEndProof()) void this.#checkEnd();
  }

  #checkEnd(): Promise<Liveness> {
    this.#isEnding = true;
    this.#endCheck ??= this.#endProof.check().then((liveness) => {
      this.#checkedLiveness = liveness;
      return liveness;
    });
    return this.#endCheck;
  }

  #handleEnd(): void {
    if (this.#isSettled) return;
    const { headers } = this.#rawHead;
    if (!isFramed(headers)) this.#logUnframedEnd();
    const isResumed = this.#resumedEvents !== null;
    if (this.#isStream() && this.#stream.isBrokenOff(headers, isResumed)) {
      this.#fail({
        verdict: 'may-have-run',
        cause: 'broken',
        message: 'stream ended inside an event',
      });
    } else if (this.#metadata?.isNotRun === true) {
      this.#turnAway(this.#metadata);
    } else if (!this.#needsEndProof()) {
      this.#complete();
    } else if (!this.#request.isWritten) {
      const message = 'connection ended before the request was taken';
      this.#fail({ verdict: 'may-have-run', cause: 'broken', message });
    } else {
      void this.#checkEnd().then((liveness) => this.#handleCheckedEnd(liveness));
    }
  }

  #handleCheckedEnd(liveness: Liveness): void {
    if (this.#isSettled) return;
    this.#isEnding = false;
    this.#liveness = liveness;
    if (!PROVEN_ENDS.has(liveness)) {
      const message = `endpoint after the end of its answer: ${liveness}`;
      this.#fail({ verdict: 'may-have-run', cause: 'broken', message });
    } else if (this.#lacksRest() && this.#acceptsEmptyRest?.() === false) {
      const message = 'rest of the stream is empty and has no length';
      this.#fail({ verdict: 'may-have-run', cause: 'empty', message });
    } else this.#complete();
  }

  #lacksRest(): boolean {
    return this.#isStream() && this.#resumedEvents?.hasEvents === false;
  }

  #complete(): void {
    if (this.#isStream()) {
      this.#countSuccess();
      this.#observeStream();
      this.#end('served');
      this.#observer.streamEnded(this.#rawHead);
    } else {
      this.#completeAnswer();
    }
  }

  /** Logs an end that only the connection tells: an endpoint that crashes closes it too. */
  #logUnframedEnd(): void {
    const { log, metrics } = this.#context;
    const { writtenAt } = this.times;
    const isStream = this.#isStream();
    metrics.countUnframedEnd(isStream ? 'stream' : 'body');
    log.decision('unframed_answer_ended', {
      requestId: this.#admitted.job.id,
      endpointId: this.endpoint.id,
      isStream,
      isInsideEvent:
        isStream && this.#stream.isBrokenOff(this.#rawHead.headers, this.#resumedEvents !== null),
      sinceSentMs: Math.round(now() - this.sentAt),
      writtenMs: writtenAt === null ? null : Math.round(writtenAt - this.sentAt),
      silentMs: Math.round(this.#endProof.silentMs),
    });
  }

  #turnAway(metadata: AnswerMetadata): void {
    this.#recordReplacement(metadata);
    this.#observeRefusal();
    this.#end('turned-away');
    this.#observer.notRun(`status ${this.#rawHead.status}`);
  }

  /** Records the end of the endpoint when another one answers at its address. */
  #recordReplacement({ endpointId }: AnswerMetadata): void {
    if (endpointId === null || endpointId === this.endpoint.id) return;
    this.#context.crashes.recordEndpointEnd(this.endpoint.id, 'replaced');
  }

  #completeAnswer(): void {
    const body = this.#body.join();
    const { status, headers } = this.#rawHead;
    const declaredLength = findHeader(headers, 'content-length');
    if (declaredLength !== null && Number(declaredLength) !== body.length && body.length > 0) {
      this.#fail({
        verdict: 'may-have-run',
        cause: 'broken',
        message: 'answer length differs from its content-length',
      });
      return;
    }
    const isFailure = status >= FIRST_SERVER_ERROR_STATUS;
    if (isFailure) this.#observeRefusal();
    else this.#countSuccess();
    this.#end(isFailure ? 'failed' : 'served');
    this.#observer.answered(this.#rawHead, body);
  }

  #fail(failure: AttemptFailure): void {
    if (this.#isSettled) return;
    if (!SOUND_CAUSES.has(failure.cause)) this.#countFailure();
    this.#end(failure.cause);
    const { contacts, log, probes, state } = this.#context;
    if (failure.cause === 'unreachable') contacts.recordFailure(this.endpoint);
    if (failure.cause === 'broken') contacts.recordBroken(this.endpoint);
    const isUnsent = failure.verdict === 'not-run' && failure.cause !== 'withheld';
    if (isUnsent && hasLostAttempts(state.suspects, this.endpoint.id)) {
      probes.probe(this.endpoint.id);
    }
    log.decision('attempt_failed', {
      requestId: this.#admitted.job.id,
      endpointId: this.endpoint.id,
      verdict: failure.verdict,
      cause: failure.cause,
      error: failure.message,
      sinceSentMs: Math.round(now() - this.sentAt),
    });
    if (failure.cause === 'withheld') this.#observer.withheld();
    else if (failure.verdict === 'not-run') this.#observer.notRun(failure.message);
    else this.#observer.failed(failure);
  }

  #countSuccess(): void {
    this.#observeOutcome(false);
    recordSuccess(this.#context.state.health, this.endpoint.id);
  }

  #countFailure(): void {
    // It is the links of this VM that fail.
    if (this.#context.contacts.isLost(this.endpoint.serviceId)) return;
    this.#observeOutcome(true);
    const { state, log } = this.#context;
    if (recordFailure(state.health, this.endpoint.id, now())) {
      log.change('endpoint_ejected', { endpointId: this.endpoint.id });
    }
  }

  #observeStream(): void {
    const { tokensPerEvent } = this.#admitted.job;
    const { scheduling } = this.#context.state;
    recordStepPace(scheduling, this.#work, this.#stream.chunks, tokensPerEvent, now());
  }

  /** An endpoint that asks for a pause does not fail. */
  #observeRefusal(): void {
    if (this.#metadata?.pauseMs == null) this.#observeOutcome(true);
  }

  #observeOutcome(isFailure: boolean): void {
    recordOutcome(this.#context.state.scheduling, this.endpoint.id, isFailure, now());
  }

  #end(outcome: string): void {
    this.#isSettled = true;
    this.#endProof.stop();
    this.#body.release();
    recordEnd(this.#context.state.scheduling, this.#work);
    const isAnswered = ANSWERED_OUTCOMES.has(outcome);
    this.#context.brittle.end(this.endpoint, isAnswered, now() - this.sentAt);
    this.#context.metrics.countAttempt(this.endpoint.id, outcome);
  }
}
