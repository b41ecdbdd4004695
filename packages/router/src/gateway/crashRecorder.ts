import {
  countCrashes,
  describeSegment,
  endTrial,
  hasTurnedAwayLately,
  isExplainedCrash,
  recordEndpointAlive,
  recordEndpointEnd,
  recordEndpointHeard,
  recordFailedTrial,
  recordLostAttempt,
  recordSegmentAnswer,
  recordSegmentCrash,
  removeCrashes,
  wasCutOffSince,
  type AttemptTrial,
  type EndedAttempt,
  type EndTime,
  type LostAttempt,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { GatewayState } from './gatewayState.js';

/** Most segments named in a line of the log. */
const MAX_LOGGED_SEGMENTS = 8;

/** Records which requests ran on endpoints that ended, and logs it. */
export class CrashRecorder {
  readonly #state: GatewayState;

  readonly #metrics: GatewayMetrics;

  readonly #log: GatewayLog;

  #notifySuspect: (() => void) | null = null;

  constructor(state: GatewayState, metrics: GatewayMetrics, log: GatewayLog) {
    this.#state = state;
    this.#metrics = metrics;
    this.#log = log;
  }

  /** Sets the callback for a request that has crashed more endpoints than one. */
  onSuspect(notify: () => void): void {
    this.#notifySuspect = notify;
  }

  /** Records an attempt that ended without a complete answer. */
  recordLostAttempt(endpointId: string, attempt: LostAttempt): void {
    const { fingerprint, isPresumedCrash } = attempt;
    const segments = attempt.segmentIds.slice(0, MAX_LOGGED_SEGMENTS);
    const fields = { fingerprint, endpointId, isBroken: isPresumedCrash, segments };
    this.#log.decision('attempt_lost', fields);
    // It says nothing of its endpoint.
    if (wasCutOffSince(this.#state.contacts, attempt.serviceId, attempt.startedAt)) return;
    // A brittle endpoint falls over by what it turns away, not by what it runs.
    if (hasTurnedAwayLately(this.#state.brittleness, endpointId, now())) return;
    const crash = recordLostAttempt(this.#state.suspects, endpointId, attempt);
    if (crash !== null) this.#recordCrash(crash, 'found_before');
  }

  /** Records that an endpoint has ended; `sign` is what showed it, for the log. */
  recordEndpointEnd(
    endpointId: string,
    sign: string,
    time: EndTime = 'unknown',
    silentSince = now(),
  ): void {
    const { suspects } = this.#state;
    recordEndpointEnd(suspects, endpointId, now(), time, silentSince).forEach((crash) => {
      this.#recordCrash(crash, sign);
    });
  }

  /** Records that an endpoint sent bytes after `since`. */
  recordEndpointHeard(endpointId: string, since: number): void {
    recordEndpointHeard(this.#state.suspects, endpointId, since);
  }

  /** Records that an endpoint answered a health check that began at `checkedAt`. */
  recordEndpointAlive(endpointId: string, checkedAt: number): void {
    const { segmentSuspects, suspects } = this.#state;
    recordEndpointAlive(suspects, endpointId, checkedAt).forEach((attempt) => {
      const { at, hasAnswer, segmentIds, serviceId, trial } = attempt;
      if (hasAnswer) recordSegmentAnswer(segmentSuspects, serviceId, segmentIds, at);
      if (trial !== null) endTrial(segmentSuspects, trial.holder);
    });
  }

  /** Removes the crashes of requests that a segment beside them caused. */
  removeExplained(): void {
    const { suspects, segmentSuspects } = this.#state;
    if (segmentSuspects.confirmed.size === 0) return;
    removeCrashes(suspects, (crash) => isExplainedCrash(segmentSuspects, crash));
  }

  #recordCrash({ fingerprint, segmentIds, trial, ...crash }: EndedAttempt, sign: string): void {
    const { endpointId, serviceId, startedAt, at } = crash;
    const { suspects, segmentSuspects } = this.#state;
    recordSegmentCrash(segmentSuspects, segmentIds, { endpointId, serviceId, startedAt, at });
    if (trial !== null) this.#recordFailedTrial(trial, serviceId, endpointId);
    const segments = segmentIds
      .slice(0, MAX_LOGGED_SEGMENTS)
      .map((segmentId) => describeSegment(segmentSuspects, serviceId, segmentId, now()));
    this.#metrics.countCrash(sign);
    const known = fingerprint === null ? null : countCrashes(suspects, fingerprint, now());
    this.#log.decision('crash_recorded', { fingerprint, endpointId, sign, ...known, segments });
    if (known !== null && known.crashes > 1) this.#notifySuspect?.();
  }

  #recordFailedTrial(
    { subject, holder }: AttemptTrial,
    serviceId: string,
    endpointId: string,
  ): void {
    const { segmentSuspects } = this.#state;
    recordFailedTrial(segmentSuspects, { subject, serviceId, endpointId, at: now() });
    endTrial(segmentSuspects, holder);
    this.#metrics.countFailedTrial();
    this.#log.decision('segment_trial', { subject, phase: 'failed', endpointId });
    this.removeExplained();
  }
}
