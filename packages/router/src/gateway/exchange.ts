import type { IncomingMessage, ServerResponse } from 'node:http';

import {
  beginStreaming,
  digestText,
  earnRepeat,
  endWork,
  hearEndpoint,
  judgeRequest,
  listServing,
  listUsable,
  observeFirstEvent,
  observeOutcome,
  placeJob,
  recordFailure,
  recordSuccess,
  startWork,
  takeRepeat,
  type Placement,
  type RegisteredEndpoint,
  type SentWork,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedCall } from './admitCall.js';
import { Attempt, type AttemptFailure } from './attempt.js';
import { beginStream, sendOwnAnswer, sendWholeAnswer } from './callerAnswer.js';
import type { AnswerHead } from './dialect.js';
import { EventSplitter } from './eventSplitter.js';
import type { GatewayContext } from './gatewayContext.js';
import { dropConnectionHeaders, findHeader } from './headers.js';

/** Least time that an endpoint must have left, so that sending is no mere gesture. */
const LEAST_SEND_MS = 20;

/** Tries that endpoints may turn away before the caller is told to come back. */
const MOST_TURNED_AWAY = 3;

/** An idempotent request without an answer after so many targets is tried elsewhere. */
const STUCK_TARGETS = 2.5;

/** A resumable stream that stood still for so many target pauses goes on elsewhere. */
const STALLED_PAUSES = 5;

/** Shortest silence of a stream that counts as a stall. */
const LEAST_STALL_MS = 900;

/** Wait told with an answer that could not be had from any endpoint. */
const FAILED_RETRY_MS = 250;

/** Largest whole answer that is held until it is complete. */
const MOST_ANSWER_BYTES = 16_777_216;

/** Ranks that an engine tells apart; 9 is the least urgent. */
const LEAST_URGENT = 9;

interface Run {
  readonly endpoint: RegisteredEndpoint;
  readonly attempt: Attempt;
  readonly work: SentWork;
  readonly sentAt: number;
  readonly predictedMs: number;
  status: number;
  headers: string[];
  head: AnswerHead | null;
  chunks: Buffer[];
  bytes: number;
  timer: NodeJS.Timeout | null;
}

/** The task of one request: finds endpoints, passes on one answer, and ends it in time. */
export class Exchange {
  readonly #context: GatewayContext;

  readonly #admitted: AdmittedCall;

  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #body: Buffer | null;

  readonly #arrivedAt: number;

  readonly #events: EventSplitter | null;

  readonly #tried = new Set<string>();

  #run: Run | null = null;

  #runs = 0;

  #turnedAway = 0;

  #mayHaveRun = false;

  #firstAt: number | null = null;

  #isOver = false;

  #dueTimer: NodeJS.Timeout | null = null;

  #placement: Placement | null = null;

  constructor(
    context: GatewayContext,
    admitted: AdmittedCall,
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
    const { repetition, isResumable } = admitted.route;
    this.#events = repetition === 'streaming' && isResumable ? new EventSplitter() : null;
  }

  /** Serves the request. */
  start(): void {
    const { dueAt, job } = this.#admitted;
    this.#response.on('close', () => this.#callerLeft());
    this.#dueTimer = setTimeout(() => this.#timeOut(), Math.max(0, dueAt - now()));
    const { state, countVms } = this.#context;
    earnRepeat(state.allowance, job.serviceId, countVms(), now());
    if (judgeRequest(state.suspects, this.#fingerprint(), now()) === 'refused') {
      this.#answer(500, 'crashes_endpoints');
      return;
    }
    this.#send();
  }

  #fingerprint(): string {
    const { accountId } = this.#admitted;
    const body = this.#body?.toString('latin1') ?? '';
    return digestText(`${accountId}\n${this.#request.method}\n${this.#request.url}\n${body}`);
  }

  #usable(): RegisteredEndpoint[] {
    const { state } = this.#context;
    const serving = listServing(state.directory, this.#admitted.job.serviceId);
    const ids = listUsable(
      state.health,
      serving.map(({ id }) => id),
    );
    const usable = new Set(ids);
    const all = serving.filter(({ id }) => usable.has(id));
    return all.filter(({ id }) => !this.#tried.has(id));
  }

  #send(): void {
    if (this.#isOver) return;
    const { state, channels, countVms } = this.#context;
    const { job, dueAt, service } = this.#admitted;
    const instant = now();
    const remainingMs = dueAt - instant;
    if (remainingMs < LEAST_SEND_MS) {
      this.#giveUp('too_late', 0);
      return;
    }
    const placement = placeJob(
      {
        state: state.scheduling,
        endpoints: this.#usable(),
        zone: state.zone,
        random: state.random,
        now: instant,
      },
      { ...job, remainingMs },
    );
    this.#placement = placement;
    if (placement.kind === 'refuse') {
      this.#giveUp(placement.reason, placement.retryAfterMs);
      return;
    }
    const { endpoint, tokens, predictedMs } = placement;
    const endpointChannels = channels.channelsOf(endpoint, service.maxConnections, countVms());
    const attempt = new Attempt(endpointChannels, {
      head: (status, headers) => this.#takeHead(run, status, headers),
      body: (chunk) => this.#takeBody(run, chunk),
      end: () => this.#takeEnd(run),
      fail: (failure) => this.#takeFailure(run, failure),
    });
    const run: Run = {
      endpoint,
      attempt,
      work: startWork(state.scheduling, endpoint.id, tokens),
      sentAt: instant,
      predictedMs,
      status: 0,
      headers: [],
      head: null,
      chunks: [],
      bytes: 0,
      timer: null,
    };
    this.#run = run;
    this.#tried.add(endpoint.id);
    this.#runs += 1;
    this.#watchStuck(run);
    attempt.start({
      method: this.#request.method ?? 'GET',
      path: this.#request.url ?? '/',
      headers: this.#writeHeaders(endpoint, remainingMs),
      body: this.#body,
    });
  }

  #writeHeaders(endpoint: RegisteredEndpoint, remainingMs: number): string[] {
    const { accountId, job } = this.#admitted;
    const { rawHeaders } = this.#request;
    const headers = dropConnectionHeaders(rawHeaders);
    return this.#context.dialect.writeCall(headers, {
      endpointId: endpoint.id,
      remainingMs,
      accountId,
      urgency: job.size === null ? null : Math.min(LEAST_URGENT, job.priority),
      lastEventId: this.#events?.lastEventId ?? null,
    });
  }

  /** Silence is a reason to try elsewhere only where a second run does no harm. */
  #watchStuck(run: Run): void {
    if (!this.#admitted.isRepeatable) return;
    const { route } = this.#admitted;
    const stallMs = Math.max(LEAST_STALL_MS, (route.gapTargetMs ?? 0) * STALLED_PAUSES);
    const stuckMs =
      route.repetition === 'streaming'
        ? Math.max(stallMs, route.targetMs * STUCK_TARGETS + run.predictedMs)
        : route.targetMs * STUCK_TARGETS;
    const waitMs = run.head === null ? stuckMs : stallMs;
    if (run.timer !== null) clearTimeout(run.timer);
    run.timer = setTimeout(() => this.#abandonStuck(run), waitMs);
  }

  #abandonStuck(run: Run): void {
    if (run !== this.#run || this.#isOver) return;
    // Without a second endpoint the first may still answer.
    if (this.#runs >= this.#admitted.route.attempts || this.#usable().length === 0) return;
    const { job } = this.#admitted;
    const { state, channels, countVms, probes } = this.#context;
    if (!takeRepeat(state.allowance, job.serviceId, countVms(), now())) return;
    run.attempt.cancel();
    channels.renew(run.endpoint.id);
    probes.probe(run.endpoint.id);
    this.#endRun(run, 'stuck');
    this.#noteFailure(run);
    this.#mayHaveRun = true;
    this.#events?.dropPartial();
    this.#send();
  }

  #takeHead(run: Run, status: number, headers: string[]): void {
    if (run !== this.#run) return;
    const { dialect, state } = this.#context;
    hearEndpoint(state.scheduling, run.endpoint.id, now());
    run.status = status;
    run.headers = headers;
    run.head = dialect.readAnswer(status, headers);
    const isOther =
      run.head.requestId !== null && run.head.requestId !== this.#admitted.call.requestId;
    const isForged = status < 300 && (!run.head.isSigned || run.head.requestId === null);
    if (isOther || isForged) {
      run.attempt.cancel();
      const message = isOther ? 'answer to another request' : 'success without a signature';
      this.#takeFailure(run, { verdict: 'may-have-run', cause: 'malformed', message });
    }
  }

  #takeBody(run: Run, chunk: Buffer): boolean {
    if (run !== this.#run) return true;
    hearEndpoint(this.#context.state.scheduling, run.endpoint.id, now());
    const isStream = this.#admitted.route.repetition === 'streaming' && run.status === 200;
    if (isStream) return this.#passOn(run, chunk);
    run.bytes += chunk.length;
    run.chunks.push(chunk);
    if (run.bytes > MOST_ANSWER_BYTES) {
      run.attempt.cancel();
      const message = 'answer too large';
      this.#takeFailure(run, { verdict: 'may-have-run', cause: 'malformed', message });
    }
    return true;
  }

  #passOn(run: Run, chunk: Buffer): boolean {
    const bytes = this.#events === null ? chunk : this.#events.push(chunk);
    if (bytes.length === 0) return true;
    this.#noteFirst(run);
    if (this.#events !== null) this.#watchStuck(run);
    if (!this.#response.headersSent) {
      beginStream(this.#response, this.#context.state, run.status, run.headers);
    }
    if (this.#response.write(bytes)) return true;
    this.#response.once('drain', () => run.attempt.resume());
    return false;
  }

  #noteFirst(run: Run): void {
    const { state, metrics } = this.#context;
    if (run.work.phase === 'waiting') {
      beginStreaming(state.scheduling, run.work);
      observeFirstEvent(state.scheduling, run.endpoint.id, run.predictedMs, now() - run.sentAt);
    }
    if (this.#firstAt !== null) return;
    this.#firstAt = now();
    metrics.recordFirst(this.#admitted.route.id, this.#firstAt - this.#arrivedAt);
  }

  #takeEnd(run: Run): void {
    if (run !== this.#run) return;
    const isStream = this.#admitted.route.repetition === 'streaming' && run.status === 200;
    if (isStream) this.#endStream(run);
    else this.#endWhole(run);
  }

  #endStream(run: Run): void {
    if (this.#events !== null && !this.#events.isWhole) {
      const message = 'stream ended within an event';
      this.#takeFailure(run, { verdict: 'may-have-run', cause: 'broken', message });
      return;
    }
    this.#endRun(run, 'served');
    this.#noteSuccess(run);
    if (!this.#response.headersSent) {
      beginStream(this.#response, this.#context.state, run.status, run.headers);
    }
    this.#response.end();
    this.#finish('served');
  }

  #endWhole(run: Run): void {
    const { head, status } = run;
    if (head?.isNotRun === true) {
      this.#endRun(run, 'turned-away');
      observeOutcome(this.#context.state.scheduling, run.endpoint.id, true, now());
      this.#runs -= 1;
      this.#tryAgain(run, 'endpoint_turned_away');
      return;
    }
    const body = Buffer.concat(run.chunks);
    const announced = findHeader(run.headers, 'content-length');
    const isCut =
      announced !== null && Number(announced) !== body.length && this.#request.method !== 'HEAD';
    if (isCut) {
      const message = 'answer cut short';
      this.#takeFailure(run, { verdict: 'may-have-run', cause: 'broken', message });
      return;
    }
    this.#endRun(run, status < 500 ? 'served' : 'failed');
    if (status < 500) this.#noteSuccess(run);
    else observeOutcome(this.#context.state.scheduling, run.endpoint.id, true, now());
    if (status >= 500 && this.#mayRepeat()) {
      this.#mayHaveRun = true;
      this.#send();
      return;
    }
    this.#noteFirst(run);
    sendWholeAnswer(this.#response, this.#context.state, status, run.headers, body);
    this.#finish(status < 400 ? 'served' : 'failed');
  }

  #takeFailure(run: Run, failure: AttemptFailure): void {
    if (run !== this.#run) return;
    this.#endRun(run, failure.cause);
    this.#noteFailure(run);
    const { log } = this.#context;
    log.decision('attempt_failed', {
      requestId: this.#admitted.job.id,
      endpointId: run.endpoint.id,
      verdict: failure.verdict,
      cause: failure.cause,
      message: failure.message,
      sinceSentMs: Math.round(now() - run.sentAt),
    });
    if (failure.cause === 'broken') {
      const { probes } = this.#context;
      probes.noteBreak(run.endpoint.id, this.#fingerprint(), run.sentAt);
      probes.probe(run.endpoint.id);
    }
    if (failure.verdict === 'not-run') {
      this.#runs -= 1;
      this.#tryAgain(run, 'endpoint_unreachable');
      return;
    }
    this.#mayHaveRun = true;
    this.#events?.dropPartial();
    if (this.#mayRepeat()) this.#send();
    else this.#failCaller('endpoint_failed');
  }

  /** Takes a repeat for one more run, where that does no harm and is within all bounds. */
  #mayRepeat(): boolean {
    const { isRepeatable: isHarmless, route, job } = this.#admitted;
    if (!isHarmless || this.#runs >= route.attempts || this.#usable().length === 0) return false;
    const { state, countVms } = this.#context;
    return takeRepeat(state.allowance, job.serviceId, countVms(), now());
  }

  /** Goes to another endpoint after one that did not run the request. */
  #tryAgain(run: Run, reason: string): void {
    this.#turnedAway += 1;
    const { state, countVms } = this.#context;
    const { job } = this.#admitted;
    const isAllowed =
      this.#turnedAway <= MOST_TURNED_AWAY &&
      this.#usable().length > 0 &&
      takeRepeat(state.allowance, job.serviceId, countVms(), now());
    if (isAllowed) this.#send();
    else this.#giveUp(reason, FAILED_RETRY_MS);
  }

  #noteFailure(run: Run): void {
    const { state, log } = this.#context;
    observeOutcome(state.scheduling, run.endpoint.id, true, now());
    if (recordFailure(state.health, run.endpoint.id, now())) {
      log.change('endpoint_ejected', { endpointId: run.endpoint.id });
    }
  }

  #noteSuccess(run: Run): void {
    const { state } = this.#context;
    observeOutcome(state.scheduling, run.endpoint.id, false, now());
    recordSuccess(state.health, run.endpoint.id);
  }

  #endRun(run: Run, outcome: string): void {
    if (run.timer !== null) clearTimeout(run.timer);
    endWork(this.#context.state.scheduling, run.work);
    this.#context.metrics.countAttempt(run.endpoint.id, outcome);
    if (this.#run === run) this.#run = null;
  }

  /** Ends a request that no endpoint takes: not run, unless an earlier attempt may have. */
  #giveUp(reason: string, retryAfterMs: number): void {
    if (this.#mayHaveRun) this.#failCaller(reason);
    else this.#answer(503, reason, Math.max(0, retryAfterMs));
  }

  #failCaller(reason: string): void {
    if (this.#response.headersSent) {
      this.#response.destroy();
      this.#finish(reason);
      return;
    }
    this.#answer(502, reason);
  }

  #answer(status: number, reason: string, retryAfterMs: number | null = null): void {
    sendOwnAnswer(this.#response, this.#context.state, status, reason, retryAfterMs);
    this.#finish(reason);
  }

  #timeOut(): void {
    if (this.#isOver) return;
    const run = this.#run;
    if (run !== null) {
      run.attempt.cancel();
      this.#endRun(run, 'timed-out');
      if (run.head === null)
        observeOutcome(this.#context.state.scheduling, run.endpoint.id, true, now());
      this.#mayHaveRun = true;
    }
    if (this.#response.headersSent) this.#failCaller('timed_out');
    else if (this.#mayHaveRun) this.#answer(504, 'timed_out');
    else this.#answer(503, 'timed_out', FAILED_RETRY_MS);
  }

  #callerLeft(): void {
    if (this.#isOver) return;
    const run = this.#run;
    if (run !== null) {
      // A run that must not be repeated may go on: its effect is what the caller asked for.
      const canCancel =
        this.#admitted.isRepeatable || this.#admitted.route.repetition === 'streaming';
      if (canCancel) {
        run.attempt.cancel();
        this.#endRun(run, 'abandoned');
      }
    }
    this.#finish('abandoned');
  }

  #finish(outcome: string): void {
    if (this.#isOver) return;
    this.#isOver = true;
    if (this.#dueTimer !== null) clearTimeout(this.#dueTimer);
    const { metrics, log, state } = this.#context;
    const { route, job } = this.#admitted;
    metrics.countRequest(route.id, outcome);
    log.decision('request_ended', {
      requestId: job.id,
      route: route.id,
      outcome,
      priority: job.priority,
      isReturning: job.isReturning,
      configuration: state.routing.configuration?.version,
      placement: this.#placement?.kind,
      predictedMs: Math.round(this.#placement?.predictedMs ?? 0),
      tried: [...this.#tried],
      firstMs: this.#firstAt === null ? null : Math.round(this.#firstAt - this.#arrivedAt),
      totalMs: Math.round(now() - this.#arrivedAt),
    });
  }
}
