import {
  getRequestLimit,
  recordLimitedSend,
  recordNamedLimit,
  recordUnlimitedAnswer,
  timeToHealthCheck,
  type AnsweredRequest,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AnswerMetadata } from './dialect.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { GatewayState } from './gatewayState.js';

const FIRST_REDIRECT_STATUS = 300;

/** Status of an endpoint that is not the expected one. */
const MISDIRECTED_STATUS = 421;

/** Most characters of a malformed limit in the log. */
const MAX_LOGGED_LENGTH = 64;

/** Records the limits that endpoints name and what is sent to them, and logs changes. */
export class LimitRecorder {
  readonly #state: GatewayState;

  readonly #metrics: GatewayMetrics;

  readonly #log: GatewayLog;

  constructor(state: GatewayState, metrics: GatewayMetrics, log: GatewayLog) {
    this.#state = state;
    this.#metrics = metrics;
    this.#log = log;
  }

  /** Says whether an endpoint has a limit. */
  hasLimit(endpointId: string): boolean {
    return getRequestLimit(this.#state.requestLimits, endpointId) !== null;
  }

  /** Returns the time until an endpoint's limit lets a health check through, in milliseconds. */
  timeToHealthCheck(endpointId: string): number {
    return timeToHealthCheck(this.#state.requestLimits, endpointId, now());
  }

  /** Records that a request or health check is sent to an endpoint. */
  recordSend(endpointId: string): void {
    const { requestLimits } = this.#state;
    if (!this.hasLimit(endpointId)) return;
    recordLimitedSend(requestLimits, endpointId, now());
    this.#metrics.countLimitedSend();
  }

  /** Records what the answer to a request says, or does not say, of a limit. */
  recordAnswer(answered: AnsweredRequest, status: number, metadata: AnswerMetadata): void {
    const isOfAnother = metadata.endpointId !== null && metadata.endpointId !== answered.endpointId;
    if (isOfAnother || status === MISDIRECTED_STATUS) return;
    const { limit } = metadata;
    // A failure or refusal without a limit may come from something else than the endpoint itself.
    if (limit === null && status < FIRST_REDIRECT_STATUS) this.#recordUnlimited(answered);
    else if (limit !== null) this.#recordNamed(answered, limit);
  }

  /** Records the limit in the answer to a health check, which may name one but does not end one. */
  recordHealthAnswer(answered: AnsweredRequest, { limit }: AnswerMetadata): void {
    if (limit !== null) this.#recordNamed(answered, limit);
  }

  #recordNamed(answered: AnsweredRequest, limit: NonNullable<AnswerMetadata['limit']>): void {
    const { endpointId } = answered;
    if (limit.kind === 'malformed') {
      const value = limit.text.slice(0, MAX_LOGGED_LENGTH);
      this.#log.decision('request_limit_unreadable', { endpointId, value });
      return;
    }
    const { requestLimits, vmId } = this.#state;
    const previous = getRequestLimit(requestLimits, endpointId);
    if (!recordNamedLimit(requestLimits, answered, limit.perSecond, now())) return;
    const { perSecond } = limit;
    this.#log.decision('request_limit_changed', { endpointId, perSecond, previous, toldTo: vmId });
  }

  #recordUnlimited(answered: AnsweredRequest): void {
    const { requestLimits, vmId } = this.#state;
    const { endpointId } = answered;
    const previous = getRequestLimit(requestLimits, endpointId);
    if (!recordUnlimitedAnswer(requestLimits, answered, now())) return;
    this.#log.decision('request_limit_changed', {
      endpointId,
      perSecond: null,
      previous,
      toldTo: vmId,
    });
  }
}
