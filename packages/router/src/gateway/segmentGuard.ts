import {
  announceTrial,
  classifySegments,
  countSegmentRefusal,
  describeSegment,
  endTrial,
  hasSegmentEvidence,
  holdLostTrial,
  recordSegmentAnswer,
  sharedSegments,
  startTrial,
  trialSettleMs,
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

  /** Suspect whose trial this request is waiting for, is or was. */
  #subject: string | null = null;

  #isWaiting = false;

  #isOnTrial = false;

  constructor(context: GatewayContext, { job, metadata }: AdmittedRequest) {
    this.#context = context;
    this.serviceId = job.serviceId;
    const { size } = metadata;
    this.segmentIds = size === null ? [] : sharedSegments(size).map(({ id }) => id);
  }

  /** Suspect that the present attempt is a trial of; null for none. */
  get trialOf(): string | null {
    return this.#isOnTrial ? this.#subject : null;
  }

  /** Decides before each attempt. A suspect waits once, while VMs settle whose trial goes first. */
  requestPermission(): SendPermission {
    const { state } = this.#context;
    const { segmentSuspects } = state;
    const instant = now();
    const verdict = classifySegments(segmentSuspects, this.serviceId, this.segmentIds, instant);
    if (verdict.kind === 'sound') {
      this.release();
      return { kind: 'send' };
    }
    const { subject, retryAfterMs } = verdict;
    if (verdict.kind === 'suspect') {
      // The endpoint before has not run it.
      if (this.trialOf === subject) return { kind: 'trial' };
      if (!this.#isWaiting) return this.#waitForTrial(subject, instant);
      if (startTrial(segmentSuspects, subject, state.vmId, instant)) {
        return this.#beginTrial(subject);
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
    const { segmentSuspects, vmId } = this.#context.state;
    holdLostTrial(segmentSuspects, this.#subject!, vmId, now());
    this.#logTrial('lost');
    this.#isOnTrial = false;
    this.#subject = null;
  }

  /** Ends what this request has announced or begun. */
  release(): void {
    const { segmentSuspects, vmId } = this.#context.state;
    if (this.#subject !== null) endTrial(segmentSuspects, this.#subject, vmId);
    this.#subject = null;
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

  #waitForTrial(subject: string, instant: number): SendPermission {
    const { state, countFleetVms, notifyPeers } = this.#context;
    this.#isWaiting = true;
    if (announceTrial(state.segmentSuspects, subject, state.vmId, instant)) {
      this.#subject = subject;
      notifyPeers();
    }
    return { kind: 'wait', waitMs: trialSettleMs(countFleetVms()) };
  }

  #beginTrial(subject: string): SendPermission {
    this.#subject = subject;
    this.#isWaiting = false;
    this.#isOnTrial = true;
    this.#logTrial('started');
    this.#context.notifyPeers();
    return { kind: 'trial' };
  }

  #logTrial(phase: 'started' | 'passed' | 'lost'): void {
    if (!this.#isOnTrial) return;
    this.#context.log.decision('segment_trial', { subject: this.#subject, phase });
  }
}
