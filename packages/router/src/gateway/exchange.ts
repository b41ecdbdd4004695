import type { IncomingMessage, ServerResponse } from 'node:http';

import {
  digestText,
  earnRepeat,
  hasEvidence,
  judgeRequest,
  listServing,
  listUsable,
  placeJob,
  takeRepeat,
  type Placement,
  type RegisteredEndpoint,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedCall } from './admitCall.js';
import type { AttemptFailure } from './attempt.js';
import { beginStream, sendOwnAnswer, sendWholeAnswer } from './callerAnswer.js';
import { EventSplitter } from './eventSplitter.js';
import type { GatewayContext } from './gatewayContext.js';
import { dropConnectionHeaders } from './headers.js';
import { Run, type AnswerStart, type RunPlan } from './run.js';

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

/** Ranks that an engine tells apart; 9 is the least urgent. */
const LEAST_URGENT = 9;

const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

/** The task of one request: finds endpoints, passes on one answer, and ends it in time. */
export class Exchange {
  readonly #context: GatewayContext;

  readonly #admitted: AdmittedCall;

  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #body: Buffer | null;

  readonly #arrivedAt: number;

  /** Holds back events until they are whole; null for streams that cannot be resumed. */
  readonly #events: EventSplitter | null;

  readonly #tried = new Set<string>();

  #run: Run | null = null;

  #runs = 0;

  #turnedAway = 0;

  #mayHaveRun = false;

  #firstAt: number | null = null;

  #lastAt: number | null = null;

  #longestPauseMs = 0;

  #isOver = false;

  #dueTimer: NodeJS.Timeout | null = null;

  #stuckTimer: NodeJS.Timeout | null = null;

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
    const { state } = this.#context;
    earnRepeat(state.allowance, job.serviceId, now());
    if (this.#isSuspect()) {
      this.#answer(500, 'crashes_endpoints');
      return;
    }
    this.#send();
  }

  #isSuspect(): boolean {
    const { suspects } = this.#context.state;
    // Hot path: a fingerprint hashes the whole body.
    if (!hasEvidence(suspects)) return false;
    return judgeRequest(suspects, this.#fingerprint(), now()) === 'refused';
  }

  #fingerprint(): string {
    const { accountId } = this.#admitted;
    const body = this.#body?.toString('latin1') ?? '';
    return digestText(`${accountId}\n${this.#request.method}\n${this.#request.url}\n${body}`);
  }

  #usable(): RegisteredEndpoint[] {
    const { state } = this.#context;
    const serving = listServing(state.directory, this.#admitted.job.serviceId);
    const ids = serving.map(({ id }) => id);
    const usable = new Set(listUsable(state.health, ids));
    return serving.filter(({ id }) => usable.has(id) && !this.#tried.has(id));
  }

  #send(): void {
    if (this.#isOver) return;
    const remainingMs = this.#admitted.dueAt - now();
    if (remainingMs < LEAST_SEND_MS) {
      this.#giveUp('too_late', 0);
      return;
    }
    const placement = this.#place(remainingMs);
    this.#placement = placement;
    if (placement.kind === 'refuse') this.#giveUp(placement.reason, placement.retryAfterMs);
    else this.#startRun(placement, remainingMs);
  }

  #place(remainingMs: number): Placement {
    const { scheduling, zone, random } = this.#context.state;
    const endpoints = this.#usable();
    const context = { state: scheduling, endpoints, zone, random, now: now() };
    return placeJob(context, { ...this.#admitted.job, remainingMs });
  }

  #startRun(plan: RunPlan, remainingMs: number): void {
    const run = new Run(this.#context, this.#admitted, plan, {
      streamed: (start, bytes) => this.#passOn(start, bytes),
      streamEnded: (start) => this.#endStream(start),
      answered: (start, body) => this.#endWhole(start, body),
      turnedAway: () => this.#goElsewhere(),
      failed: (failure) => this.#takeFailure(failure),
    });
    this.#run = run;
    this.#runs += 1;
    this.#tried.add(run.endpoint.id);
    this.#watchStuck(run);
    run.send({
      method: this.#request.method ?? 'GET',
      path: this.#request.url ?? '/',
      headers: this.#writeHeaders(run.endpoint, remainingMs),
      body: this.#body,
    });
  }

  #writeHeaders(endpoint: RegisteredEndpoint, remainingMs: number): string[] {
    const { accountId, job } = this.#admitted;
    return this.#context.dialect.writeCall(dropConnectionHeaders(this.#request.rawHeaders), {
      endpointId: endpoint.id,
      remainingMs,
      accountId,
      urgency: job.size === null ? null : Math.min(LEAST_URGENT, job.priority),
      lastEventId: this.#events?.lastEventId ?? null,
    });
  }

  /** Silence is a reason to try elsewhere only where a second run does no harm. */
  #watchStuck(run: Run): void {
    if (this.#stuckTimer !== null) clearTimeout(this.#stuckTimer);
    const { isRepeatable, route } = this.#admitted;
    if (!isRepeatable) return;
    const stallMs = Math.max(LEAST_STALL_MS, (route.gapTargetMs ?? 0) * STALLED_PAUSES);
    const firstMs = route.targetMs * STUCK_TARGETS;
    const streamFirstMs = Math.max(stallMs, firstMs + run.predictedMs);
    const untilFirstMs = route.repetition === 'streaming' ? streamFirstMs : firstMs;
    const waitMs = run.hasAnswered ? stallMs : untilFirstMs;
    this.#stuckTimer = setTimeout(() => this.#abandonStuck(run), waitMs);
  }

  #abandonStuck(run: Run): void {
    if (run !== this.#run || this.#isOver || !this.#takeRepeat()) return;
    const { channels, probes } = this.#context;
    run.cancel('stuck');
    channels.renew(run.endpoint.id);
    probes.probe(run.endpoint.id);
    this.#mayHaveRun = true;
    this.#events?.dropPartial();
    this.#send();
  }

  #passOn(start: AnswerStart, chunk: Buffer): boolean {
    const bytes = this.#events === null ? chunk : this.#events.push(chunk);
    if (bytes.length === 0) return true;
    this.#noteFirst();
    this.#notePause();
    const run = this.#run!;
    if (this.#events !== null) this.#watchStuck(run);
    this.#beginStream(start);
    if (this.#response.write(bytes)) return true;
    this.#response.once('drain', () => run.resume());
    return false;
  }

  #beginStream({ status, headers }: AnswerStart): void {
    if (this.#response.headersSent) return;
    beginStream(this.#response, this.#context.state, status, headers);
  }

  #noteFirst(): void {
    if (this.#firstAt !== null) return;
    this.#firstAt = now();
    const { metrics } = this.#context;
    metrics.recordFirst(this.#admitted.route.id, this.#firstAt - this.#arrivedAt);
  }

  #notePause(): void {
    const instant = now();
    if (this.#lastAt !== null) {
      this.#longestPauseMs = Math.max(this.#longestPauseMs, instant - this.#lastAt);
    }
    this.#lastAt = instant;
  }

  #endStream(start: AnswerStart): void {
    if (this.#events !== null && !this.#events.isWhole) {
      const message = 'stream ended within an event';
      this.#takeFailure({ verdict: 'may-have-run', cause: 'broken', message });
      return;
    }
    this.#beginStream(start);
    this.#response.end();
    this.#finish('served');
  }

  #endWhole({ status, headers }: AnswerStart, body: Buffer): void {
    if (status >= FIRST_SERVER_ERROR && this.#takeRepeat()) {
      this.#mayHaveRun = true;
      this.#send();
      return;
    }
    if (this.#response.headersSent) {
      // A stream that went on elsewhere met an answer that is no stream.
      this.#failCaller('endpoint_failed');
      return;
    }
    this.#noteFirst();
    sendWholeAnswer(this.#response, this.#context.state, status, headers, body);
    this.#finish(status < FIRST_CLIENT_ERROR ? 'served' : 'failed');
  }

  #takeFailure({ cause }: AttemptFailure): void {
    const run = this.#run!;
    if (cause === 'broken') {
      const { probes } = this.#context;
      probes.noteBreak(run.endpoint.id, this.#fingerprint(), run.sentAt);
      probes.probe(run.endpoint.id);
    }
    this.#mayHaveRun = true;
    this.#events?.dropPartial();
    if (this.#takeRepeat()) this.#send();
    else this.#failCaller('endpoint_failed');
  }

  /** Takes a repeat for one more run, where that does no harm and is within all bounds. */
  #takeRepeat(): boolean {
    const { isRepeatable, route } = this.#admitted;
    return isRepeatable && this.#runs < route.attempts && this.#takeAllowance();
  }

  /** Takes one more send from the fleet's bound, where there is an endpoint left for it. */
  #takeAllowance(): boolean {
    if (this.#usable().length === 0) return false;
    const { state, countVms } = this.#context;
    return takeRepeat(state.allowance, this.#admitted.job.serviceId, countVms(), now());
  }

  /** Goes to another endpoint after one that did not run the request. */
  #goElsewhere(): void {
    this.#runs -= 1;
    this.#turnedAway += 1;
    if (this.#turnedAway <= MOST_TURNED_AWAY && this.#takeAllowance()) this.#send();
    else this.#giveUp('turned_away', FAILED_RETRY_MS);
  }

  /** Ends a request that no endpoint takes: not run, unless an earlier attempt may have. */
  #giveUp(reason: string, retryAfterMs: number): void {
    if (this.#mayHaveRun) this.#failCaller(reason);
    else this.#answer(503, reason, retryAfterMs);
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
    if (this.#run !== null) {
      this.#run.cancel('timed-out');
      this.#mayHaveRun = true;
    }
    if (this.#response.headersSent) this.#failCaller('timed_out');
    else if (this.#mayHaveRun) this.#answer(504, 'timed_out');
    else this.#answer(503, 'timed_out', FAILED_RETRY_MS);
  }

  #callerLeft(): void {
    if (this.#isOver) return;
    const { isRepeatable, route } = this.#admitted;
    // A run that must not be repeated may go on: its effect is what the caller asked for.
    if (isRepeatable || route.repetition === 'streaming') this.#run?.cancel('abandoned');
    this.#finish('abandoned');
  }

  #finish(outcome: string): void {
    if (this.#isOver) return;
    this.#isOver = true;
    if (this.#dueTimer !== null) clearTimeout(this.#dueTimer);
    if (this.#stuckTimer !== null) clearTimeout(this.#stuckTimer);
    const { metrics, log, state } = this.#context;
    const { route, job, isReturning } = this.#admitted;
    metrics.countRequest(route.id, outcome);
    log.decision('request_ended', {
      requestId: job.id,
      route: route.id,
      outcome,
      priority: job.priority,
      isReturning,
      configuration: state.routing.configuration?.version,
      placement: this.#placement?.kind,
      predictedMs: Math.round(this.#placement?.predictedMs ?? 0),
      tried: [...this.#tried],
      firstMs: this.#firstAt === null ? null : Math.round(this.#firstAt - this.#arrivedAt),
      longestPauseMs: Math.round(this.#longestPauseMs),
      totalMs: Math.round(now() - this.#arrivedAt),
    });
  }
}
