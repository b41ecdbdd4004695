import type { IncomingMessage } from 'node:http';

import {
  areAnsweredLately,
  classifyRequest,
  clearCrashes,
  countCrashes,
  digestText,
  hasRecordedCrashes,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { Attempt } from './attempt.js';
import { EndpointAttempt } from './endpointAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import type { LogFields } from './gatewayLog.js';
import type { SegmentGuard } from './segmentGuard.js';
import { SilenceTimer } from './silenceTimer.js';

/** Time without any byte of an answer after which an attempt that its caller left is looked into. */
const MIN_SILENCE_MS = 1000;

/** Time without any byte from an endpoint after which an attempt there is looked into. */
const SILENCE_MS = 1000;

/** Time after an answer without length and chunks at which its endpoint must be heard again. */
const UNFRAMED_CHECK_MS = 300;

/** Time in which bytes arrive that an endpoint sent before it crashed. */
const IN_FLIGHT_MS = 100;

/**
 * Connects one request with the crashes of the endpoints that ran it. Of an attempt by way of another
 * VM, that VM records the evidence.
 */
export class CrashGuard {
  readonly #context: GatewayContext;

  readonly #accountId: string | null;

  readonly #segments: SegmentGuard;

  readonly #request: IncomingMessage;

  readonly #body: Buffer | null;

  #fingerprint: string | null = null;

  readonly #silenceTimer: SilenceTimer;

  constructor(
    context: GatewayContext,
    segments: SegmentGuard,
    accountId: string | null,
    request: IncomingMessage,
    body: Buffer | null,
  ) {
    this.#context = context;
    this.#accountId = accountId;
    this.#segments = segments;
    this.#request = request;
    this.#body = body;
    this.#silenceTimer = new SilenceTimer(context.loopDelay);
  }

  /** True when the request has crashed so many endpoints that no other may run it. */
  isRefused(): boolean {
    const { suspects } = this.#context.state;
    // Hot path: without recorded crashes no fingerprint is needed.
    if (!hasRecordedCrashes(suspects)) return false;
    return classifyRequest(suspects, this.#computeFingerprint(), now()) === 'refused';
  }

  /** Records an attempt whose connection broke, or whose answer is not shown to be whole. */
  recordBroken(attempt: Attempt): void {
    if (!(attempt instanceof EndpointAttempt)) return;
    // An endpoint that leaves ends without a crash.
    if (attempt.liveness !== 'left') this.#recordLost(attempt, attempt.liveness !== 'unknown');
    this.#context.probes.probe(attempt.endpoint.id);
  }

  /** Records an attempt that is given up without a complete answer. */
  recordUnanswered(attempt: Attempt): void {
    if (!(attempt instanceof EndpointAttempt)) return;
    this.#recordLost(attempt, false);
    this.#context.probes.probe(attempt.endpoint.id);
  }

  /** Records an attempt without a complete answer whose caller has left. */
  recordAbandoned(attempt: Attempt): void {
    if (!(attempt instanceof EndpointAttempt)) return;
    const isTrial = this.#segments.trial !== null;
    this.#recordLost(attempt, false);
    const waitedMs = this.#context.loopDelay.listenedMs(attempt.sentAt);
    const isSilent = !attempt.hasAnswered && waitedMs >= MIN_SILENCE_MS;
    if (isSilent || isTrial) this.#context.probes.probe(attempt.endpoint.id);
  }

  /**
   * Watches an attempt whose prompt has segments: a crash that breaks no connection must be found
   * before the deadline of the request.
   */
  watch(attempt: Attempt): void {
    this.unwatch();
    if (this.#segments.segmentIds.length === 0) return;
    if (!(attempt instanceof EndpointAttempt)) return;
    this.#silenceTimer.start(SILENCE_MS, () => this.#checkSilence(attempt, SILENCE_MS));
  }

  /** Ends the watch. */
  unwatch(): void {
    this.#silenceTimer.stop();
  }

  /**
   * Records a complete answer. One that only the end of the connection delimits may also come from
   * an endpoint that crashed after an event: unless a check has shown that the endpoint lives, it
   * speaks for the segments once the endpoint is heard again.
   */
  recordAnswer(attempt: Attempt): void {
    if (!(attempt instanceof EndpointAttempt)) return;
    this.#clear();
    const hasSegments = this.#segments.segmentIds.length > 0;
    if (!hasSegments || attempt.hasLivedOn || attempt.hasCertainEnd) this.#segments.recordAnswer();
    else this.#recordUnframedAnswer(attempt);
  }

  #recordUnframedAnswer({ endpoint, sentAt }: EndpointAttempt): void {
    const { segmentIds, serviceId, trial } = this.#segments;
    const at = now();
    this.#context.crashes.recordLostAttempt(endpoint.id, {
      fingerprint: null,
      startedAt: sentAt,
      at,
      isPresumedCrash: false,
      segmentIds,
      serviceId,
      trial,
      hasAnswer: true,
    });
    this.#segments.recordLost();
    const timer = new SilenceTimer(this.#context.loopDelay);
    timer.start(UNFRAMED_CHECK_MS, () => this.#checkEndpoint(endpoint.id, at));
  }

  #checkEndpoint(endpointId: string, answeredAt: number): void {
    const { connections, crashes, probes, state } = this.#context;
    const { segmentIds, serviceId } = this.#segments;
    const instant = now();
    if (connections.lastAliveAt(endpointId) > answeredAt + IN_FLIGHT_MS) {
      crashes.recordEndpointAlive(endpointId, answeredAt);
    } else if (!areAnsweredLately(state.segmentSuspects, serviceId, segmentIds, instant)) {
      probes.probe(endpointId);
    }
  }

  /** Removes the request's crashes: another request caused them. */
  #clear(): void {
    const { suspects } = this.#context.state;
    const mayHaveLostAttempts = this.#fingerprint !== null;
    if (!mayHaveLostAttempts && !hasRecordedCrashes(suspects)) return;
    clearCrashes(suspects, this.#computeFingerprint(), now());
  }

  /** Returns what this VM knows of the request's crashes, for the log; empty without any. */
  describe(): LogFields {
    const { suspects } = this.#context.state;
    const segments = this.#segments.describe();
    if (!hasRecordedCrashes(suspects)) return segments;
    const fingerprint = this.#computeFingerprint();
    const { crashes, endpoints } = countCrashes(suspects, fingerprint, now());
    if (crashes === 0) return segments;
    return { ...segments, fingerprint, crashes, crashedEndpoints: endpoints };
  }

  #checkSilence(attempt: EndpointAttempt, limitMs: number): void {
    if (attempt.isOver) return;
    const { connections, loopDelay, probes } = this.#context;
    const { id } = attempt.endpoint;
    const heardAt = Math.max(attempt.heardAt, connections.lastHeardAt(id));
    const silentMs = loopDelay.listenedMs(heardAt);
    const isSilent = silentMs >= limitMs;
    if (isSilent) {
      this.#recordLost(attempt, false);
      probes.probe(id);
    }
    // An endpoint that is only slow is asked less and less often.
    const nextLimitMs = isSilent ? 2 * limitMs : SILENCE_MS;
    const waitMs = Math.max(SILENCE_MS / 2, nextLimitMs - silentMs);
    this.#silenceTimer.start(waitMs, () => this.#checkSilence(attempt, nextLimitMs));
  }

  #recordLost(attempt: EndpointAttempt, isBroken: boolean): void {
    this.#context.crashes.recordLostAttempt(attempt.endpoint.id, {
      fingerprint: this.#computeFingerprint(),
      startedAt: attempt.sentAt,
      at: now(),
      isPresumedCrash: isBroken,
      segmentIds: attempt.hasLivedOn ? [] : this.#segments.segmentIds,
      serviceId: this.#segments.serviceId,
      trial: this.#segments.trial,
      hasAnswer: false,
    });
    this.#segments.recordLost();
  }

  /** Hash of the request's content; computed once, since it covers the whole body. */
  #computeFingerprint(): string {
    if (this.#fingerprint === null) {
      const { method, url } = this.#request;
      const body = this.#body?.toString('latin1') ?? '';
      this.#fingerprint = digestText(`${this.#accountId}\n${method}\n${url}\n${body}`);
    }
    return this.#fingerprint;
  }
}
