import type { IncomingMessage } from 'node:http';

import {
  classifyRequest,
  clearCrashes,
  countCrashes,
  describeSegment,
  digestText,
  hasRecordedCrashes,
  hasSegmentEvidence,
  recordSegmentAnswer,
  sharedSegments,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import type { EndpointAttempt } from './endpointAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import type { LogFields } from './gatewayLog.js';

/** Time without any byte of an answer after which an attempt that its caller left is looked into. */
const MIN_SILENCE_MS = 1000;

/** Most segments named in a line of the log. */
const MAX_LOGGED_SEGMENTS = 8;

/** Connects one request with the crashes of the endpoints that ran it. */
export class CrashGuard {
  readonly #context: GatewayContext;

  readonly #accountId: string | null;

  readonly #serviceId: string;

  /** Shared segments of the prompt; empty for a request to a plain service. */
  readonly #segmentIds: readonly string[];

  readonly #request: IncomingMessage;

  readonly #body: Buffer | null;

  #fingerprint: string | null = null;

  constructor(
    context: GatewayContext,
    { accountId, job }: AdmittedRequest,
    request: IncomingMessage,
    body: Buffer | null,
  ) {
    this.#context = context;
    this.#accountId = accountId;
    this.#serviceId = job.serviceId;
    this.#segmentIds = job.size === null ? [] : sharedSegments(job.size).map(({ id }) => id);
    this.#request = request;
    this.#body = body;
  }

  /** True when the request has crashed so many endpoints that no other may run it. */
  isRefused(): boolean {
    const { suspects } = this.#context.state;
    // Hot path: without recorded crashes no fingerprint is needed.
    if (!hasRecordedCrashes(suspects)) return false;
    return classifyRequest(suspects, this.#computeFingerprint(), now()) === 'refused';
  }

  /** Records an attempt whose connection broke. */
  recordBroken(attempt: EndpointAttempt): void {
    this.#recordLost(attempt, true);
    this.#context.probes.probe(attempt.endpoint.id);
  }

  /** Records an attempt that is given up without a complete answer. */
  recordUnanswered(attempt: EndpointAttempt): void {
    this.#recordLost(attempt, false);
    this.#context.probes.probe(attempt.endpoint.id);
  }

  /** Records an attempt without a complete answer whose caller has left. */
  recordAbandoned(attempt: EndpointAttempt): void {
    this.#recordLost(attempt, false);
    const isSilent = !attempt.hasAnswered && now() - attempt.sentAt >= MIN_SILENCE_MS;
    if (isSilent) this.#context.probes.probe(attempt.endpoint.id);
  }

  /** Records that the endpoint has lived on after it began to answer. */
  recordAnswer(): void {
    const { segmentSuspects } = this.#context.state;
    recordSegmentAnswer(segmentSuspects, this.#serviceId, this.#segmentIds, now());
  }

  /** Removes the request's crashes after a complete answer: another request caused them. */
  clear(): void {
    this.recordAnswer();
    const { suspects } = this.#context.state;
    const mayHaveLostAttempts = this.#fingerprint !== null;
    if (!mayHaveLostAttempts && !hasRecordedCrashes(suspects)) return;
    clearCrashes(suspects, this.#computeFingerprint(), now());
  }

  /** Returns what this VM knows of the request's crashes, for the log; empty without any. */
  describe(): LogFields {
    const { suspects } = this.#context.state;
    const segments = this.#describeSegments();
    if (!hasRecordedCrashes(suspects)) return segments;
    const fingerprint = this.#computeFingerprint();
    const { crashes, endpoints } = countCrashes(suspects, fingerprint, now());
    if (crashes === 0) return segments;
    return { ...segments, fingerprint, crashes, crashedEndpoints: endpoints };
  }

  #describeSegments(): LogFields {
    const { segmentSuspects } = this.#context.state;
    if (!hasSegmentEvidence(segmentSuspects, this.#segmentIds)) return {};
    const segments = this.#segmentIds
      .filter((id) => hasSegmentEvidence(segmentSuspects, [id]))
      .slice(0, MAX_LOGGED_SEGMENTS)
      .map((id) => describeSegment(segmentSuspects, this.#serviceId, id, now()));
    return { segments };
  }

  #recordLost(attempt: EndpointAttempt, isBroken: boolean): void {
    this.#context.crashes.recordLostAttempt(attempt.endpoint.id, {
      fingerprint: this.#computeFingerprint(),
      startedAt: attempt.sentAt,
      at: now(),
      isPresumedCrash: isBroken,
      segmentIds: attempt.hasLivedOn ? [] : this.#segmentIds,
      serviceId: this.#serviceId,
    });
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
