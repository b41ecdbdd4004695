import type { StreamOrigin, TransitPeer } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import { AnswerBody, MAX_ANSWER_BYTES } from './answerBody.js';
import type { Attempt, AttemptObserver, AttemptRequest, RawAnswerHead } from './attempt.js';
import type { AnswerNote } from './callerAnswer.js';
import { EndpointRequest, type AttemptFailure } from './endpointRequest.js';
import { isAnswerStatus } from './findAnswerFault.js';
import { findBodyFault } from './findBodyFault.js';
import type { GatewayContext } from './gatewayContext.js';
import { findHeader, isFramed } from './headers.js';
import { hasTimeToSend } from './hasTimeToSend.js';
import type { SendTimes } from './sendTimes.js';
import { addTerms, readNote, removeEnvelope, TRANSIT_PATH } from './transitEnvelope.js';

/** The peer gives up this long before this VM does, so that its answer arrives. */
const ANSWER_MARGIN_MS = 20;

/** Latency targets within which a peer is expected to answer. */
const PREDICTED_TARGET_FACTOR = 2;

const OK_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
const FIRST_SERVER_ERROR_STATUS = 500;
const REFUSED_STATUS = 503;

/** Statuses of answers that have no body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Refusals that say nothing of the request: another VM may carry it. */
const PEER_REASONS = new Set(['out_of_touch', 'busy', 'leaving', 'starting']);

/** Verdicts of a peer on a request that may have run, after which no other attempt helps. */
const FINAL_REASONS = new Set(['crashes_endpoints', 'timed_out']);

/** One attempt of a request by way of another VM, which sends it to an endpoint once at most. */
export class TransitAttempt implements Attempt {
  readonly endpoint = null;

  readonly requestLimit = null;

  readonly peerId: string;

  readonly predictedMs: number;

  readonly #context: GatewayContext;

  readonly #admitted: AdmittedRequest;

  readonly #observer: AttemptObserver;

  readonly #request: EndpointRequest;

  readonly #body: AnswerBody;

  readonly #sentAt = now();

  #method = '';

  #head: RawAnswerHead = { status: 0, headers: [] };

  #note: AnswerNote | null = null;

  #isSettled = false;

  #isAtEndpoint = false;

  /** True when the answer goes on with a stream that another attempt has begun. */
  #isResumed: boolean;

  constructor(
    context: GatewayContext,
    admitted: AdmittedRequest,
    { id, address }: TransitPeer,
    observer: AttemptObserver,
  ) {
    this.#context = context;
    this.#admitted = admitted;
    this.#observer = observer;
    this.#isResumed = admitted.metadata.lastEventId !== null;
    this.peerId = id;
    this.predictedMs = PREDICTED_TARGET_FACTOR * admitted.route.targetMs;
    this.#body = new AnswerBody(
      context.buffers,
      (message) => this.#reject(message),
      () => this.resume(),
    );
    const connections = context.transits.getConnections(address);
    this.#request = new EndpointRequest(connections, context.loopDelay, {
      isAwaited: () => observer.isAwaited(),
      mayStart: () => context.transits.isPrompt(id) && hasTimeToSend(admitted.deadlineAt, now()),
      processing: () => {
        this.#isAtEndpoint = true;
      },
      head: (status, headers) => this.#handleHead(status, headers),
      body: (chunk) => this.#handleBody(chunk),
      end: () => this.#handleEnd(),
      fail: (failure) => this.#fail(failure),
    });
    context.transits.begin(id);
  }

  get isOver(): boolean {
    return this.#isSettled;
  }

  get isPaused(): boolean {
    return this.#body.isPaused;
  }

  get mayHaveSent(): boolean {
    return this.#request.mayHaveSent;
  }

  get isAtEndpoint(): boolean {
    return this.#isAtEndpoint;
  }

  get times(): SendTimes {
    return this.#request.times;
  }

  get hasAnswered(): boolean {
    return this.#note !== null;
  }

  get origin(): StreamOrigin | null {
    return this.#note?.kind === 'answer' ? this.#note.origin : null;
  }

  /** Where the stream began that this attempt goes on with; set before it is sent. */
  resumedOrigin: StreamOrigin | null = null;

  send({ method, path, headers, body, held, lastEventId }: AttemptRequest): void {
    const { deadlineAt, job } = this.#admitted;
    const { id } = job;
    this.#method = method;
    this.#isResumed ||= lastEventId !== null;
    const formatHeaders = () =>
      addTerms(headers, {
        from: this.#context.state.vmId,
        remainingMs: Math.max(0, Math.floor(deadlineAt - now() - ANSWER_MARGIN_MS)),
        lastEventId,
        origin: this.resumedOrigin,
      });
    this.#context.log.decision('transit_sent', { requestId: id, peer: this.peerId });
    this.#request.start({
      method,
      path: `${TRANSIT_PATH}${path}`,
      formatHeaders,
      body,
      held,
    });
  }

  resume(): void {
    this.#request.resume();
  }

  cancel(outcome: 'stuck' | 'timed-out' | 'abandoned'): void {
    if (this.#isSettled) return;
    this.#request.cancel();
    this.#end(outcome);
  }

  #isStream(): boolean {
    return this.#admitted.route.repetition === 'streaming' && this.#head.status === OK_STATUS;
  }

  #handleHead(status: number, headers: readonly string[]): void {
    const note = readNote(headers);
    this.#note = note;
    this.#head = { status, headers: removeEnvelope(headers) };
    if (note === null) this.#reject('answer of a peer lacks its note');
    else if (!this.#isDelimited()) this.#reject('answer of a peer has neither a length nor chunks');
    else if (note.kind === 'answer') this.#checkAnswer(status);
    if (!this.#isSettled && !this.#isStream()) this.#expectBody(headers);
  }

  #expectBody(headers: readonly string[]): void {
    const length = findHeader(headers, 'content-length');
    if (length !== null && Number(length) <= MAX_ANSWER_BYTES) this.#body.expect(Number(length));
  }

  /** VMs frame each body: the end of a connection may be that of the peer. */
  #isDelimited(): boolean {
    const { status, headers } = this.#head;
    return isFramed(headers) || BODILESS_STATUSES.has(status) || this.#method === 'HEAD';
  }

  #checkAnswer(status: number): void {
    const metadata = this.#context.dialect.parseAnswer(status, this.#head.headers);
    const isOfRequest = metadata.requestId === this.#admitted.metadata.requestId;
    const isForeign = metadata.requestId !== null && !isOfRequest;
    const isSuccess = status < FIRST_REDIRECT_STATUS;
    const isForged = isSuccess && (!metadata.isSigned || !isOfRequest);
    const bodyFault = isSuccess
      ? findBodyFault(this.#head, this.#admitted.route, this.#isResumed)
      : null;
    if (!isAnswerStatus(status)) this.#reject(`no answer has the status ${status}`);
    else if (isForeign || isForged) this.#reject('answer of a peer belongs to another request');
    else if (bodyFault !== null) this.#reject(bodyFault);
  }

  #handleBody(chunk: Buffer): boolean {
    if (this.#isSettled) return true;
    if (this.#note?.kind === 'answer' && this.#isStream()) {
      return this.#observer.streamed(this.#head, chunk);
    }
    return this.#body.push(chunk);
  }

  #handleEnd(): void {
    if (this.#isSettled) return;
    const body = this.#body.join();
    if (this.#note?.kind === 'error') this.#handleError(this.#note);
    else if (this.#isStream()) {
      this.#end('served');
      this.#observer.streamEnded(this.#head);
    } else {
      this.#end('answered');
      this.#observer.answered(this.#head, body);
    }
  }

  #handleError({ reason, retryAfterMs }: AnswerNote & { kind: 'error' }): void {
    const { status } = this.#head;
    const isRun = status >= FIRST_SERVER_ERROR_STATUS && status !== REFUSED_STATUS;
    const isForPeer = status === REFUSED_STATUS && PEER_REASONS.has(reason);
    this.#end(isForPeer ? 'turned-away' : 'refused');
    if (isForPeer) this.#observer.notRun(reason);
    else if (isRun && !FINAL_REASONS.has(reason)) {
      this.#observer.failed({ verdict: 'may-have-run', cause: 'broken', message: reason });
    } else this.#observer.refused({ status, reason, retryAfterMs });
  }

  #reject(message: string): void {
    this.#request.cancel();
    this.#fail({ verdict: 'may-have-run', cause: 'malformed', message });
  }

  #fail(failure: AttemptFailure): void {
    if (this.#isSettled) return;
    this.#end(failure.verdict === 'not-run' ? 'unreachable' : 'failed');
    this.#context.log.decision('transit_failed', {
      requestId: this.#admitted.job.id,
      peer: this.peerId,
      verdict: failure.verdict,
      error: failure.message,
      sinceSentMs: Math.round(now() - this.#sentAt),
    });
    if (failure.cause === 'withheld') this.#observer.withheld();
    else if (failure.verdict === 'not-run') this.#observer.notRun(failure.message);
    else this.#observer.failed(failure);
  }

  #end(outcome: string): void {
    this.#isSettled = true;
    this.#body.release();
    this.#context.transits.end(this.peerId);
    this.#context.metrics.countTransit('sent', outcome);
  }
}
