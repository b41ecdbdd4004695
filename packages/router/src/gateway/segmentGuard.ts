import {
  announceTrial,
  classifySegments,
  countClassified,
  countSegmentRefusal,
  describeSegment,
  endTrial,
  hasCrashedUnder,
  hasSegmentEvidence,
  holdLostTrial,
  recordSegmentAnswer,
  sharedSegments,
  startTrial,
  trialSettleMs,
  type AttemptTrial,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import type { GatewayContext } from './gatewayContext.js';
import type { LogFields } from './gatewayLog.js';

/** Most segments named in a line of the log. */
const MAX_LOGGED_SEGMENTS = 8;

/** Whether a request may be sent now, as any other, alone on trial, later or not at all. */
export type SendPermission =
  | { readonly kind: 'send' | 'trial' }
  | { readonly kind: 'wait'; readonly waitMs: number }
  | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Connects one request with the crashes under the segments of its prompt. */
export class SegmentGuard {
  readonly serviceId: string;

  /** Segments that other requests may share; empty without a prompt. */
  readonly segmentIds: readonly string[];

  readonly #context: GatewayContext;

  /** Names this request among those on trial. */
  readonly #holder: string;

  /** Trial that this request has announced or is; null for none. */
  #trial: AttemptTrial | null = null;

  #isWaiting = false;

  #isOnTrial = false;

  constructor(context: GatewayContext, { job, metadata }: AdmittedRequest) {
    this.#context = context;
    this.#holder = `${context.state.vmId}/${context.takeSequenceNumber()}`;
    this.serviceId = job.serviceId;
    const { size } = metadata;
    this.segmentIds = size === null ? [] : sharedSegments(size).map(({ id }) => id);
  }

  /** The trial that the present attempt is; null for none. */
  get trial(): AttemptTrial | null {
    return this.#isOnTrial ? this.#trial : null;
  }

  /** True when the request may be sent as any other, neither on trial nor later. */
  isSound(): boolean {
    const { segmentSuspects } = this.#context.state;
    return (
      classifySegments(segmentSuspects, this.serviceId, this.segmentIds, now()).kind === 'sound'
    );
  }

  /** True when an endpoint is known to have crashed with a request sent there at an instant or later. */
  hasCrashed(endpointId: string, sentAt: number): boolean {
    return hasCrashedUnder(
      this.#context.state.segmentSuspects,
      this.segmentIds,
      endpointId,
      sentAt,
    );
  }

  /** Decides before each attempt. A suspect waits once, while VMs settle whose trial goes first. */
  requestPermission(): SendPermission {
    const { segmentSuspects } = this.#context.state;
    const instant = now();
    if (!this.#isWaiting && this.segmentIds.length > 0) countClassified(segmentSuspects);
    const verdict = classifySegments(segmentSuspects, this.serviceId, this.segmentIds, instant);
    if (verdict.kind === 'sound') {
      this.release();
      return { kind: 'send' };
    }
    const { subject, suspects, retryAfterMs } = verdict;
    if (verdict.kind === 'suspect') {
      // The endpoint before has not run it.
      if (this.trial?.subject === subject) return { kind: 'trial' };
      if (!this.#isWaiting) return this.#waitForTrial(subject, suspects, instant);
      const isAnnounced = this.#trial?.subject === subject;
      if (isAnnounced && startTrial(segmentSuspects, suspects, this.#holder, instant)) {
        return this.#beginTrial();
      }
    }
    this.release();
    countSegmentRefusal(segmentSuspects, subject);
    this.#context.metrics.countSegmentRefusal(verdict.kind);
    return { kind: 'refuse', retryAfterMs };
  }

  /** Records that the endpoint has lived on after it began to answer: the segments are sound. */
  recordAnswer(): void {
    const { segmentSuspects } = this.#context.state;
    recordSegmentAnswer(segmentSuspects, this.serviceId, this.segmentIds, now());
    this.#logTrial('passed');
    this.release();
  }

  /** Records that the attempt got no answer; its trial holds until the endpoint is looked into. */
  recordLost(): void {
    if (!this.#isOnTrial) return;
    holdLostTrial(this.#context.state.segmentSuspects, this.#holder, now());
    this.#logTrial('lost');
    this.#isOnTrial = false;
    this.#trial = null;
  }

  /** Ends what this request has announced or begun. */
  release(): void {
    if (this.#trial !== null) endTrial(this.#context.state.segmentSuspects, this.#holder);
    this.#trial = null;
    this.#isWaiting = false;
    this.#isOnTrial = false;
  }

  /** Returns what this VM knows of the segments, for the log; empty without evidence. */
  describe(): LogFields {
    const { segmentSuspects } = this.#context.state;
    if (!hasSegmentEvidence(segmentSuspects, this.segmentIds)) return {};
    const segments = this.segmentIds
      .filter((id) => hasSegmentEvidence(segmentSuspects, [id]))
      .slice(0, MAX_LOGGED_SEGMENTS)
      .map((id) => describeSegment(segmentSuspects, this.serviceId, id, now()));
    return { segments };
  }

  #waitForTrial(subject: string, suspects: readonly string[], instant: number): SendPermission {
    const { state, countFleetVms, notifyPeers } = this.#context;
    this.#isWaiting = true;
    if (announceTrial(state.segmentSuspects, suspects, this.#holder, instant)) {
      this.#trial = { subject, holder: this.#holder };
      notifyPeers();
    }
    return { kind: 'wait', waitMs: trialSettleMs(countFleetVms()) };
  }

  #beginTrial(): SendPermission {
    this.#isWaiting = false;
    this.#isOnTrial = true;
    this.#logTrial('started');
    this.#context.notifyPeers();
    return { kind: 'trial' };
  }

  #logTrial(phase: 'started' | 'passed' | 'lost'): void {
    if (!this.#isOnTrial) return;
    this.#context.log.decision('segment_trial', { subject: this.#trial?.subject, phase });
  }
}
