import { takeRetry } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import type { GatewayContext } from './gatewayContext.js';

/** Attempts without a run after which yet another endpoint is tried. */
const MAX_NOT_RUN_ATTEMPTS = 3;

/** What may still be sent for one request: its attempts, and what its service's retry budget allows. */
export class RetryAllowance {
  readonly #context: GatewayContext;

  readonly #admitted: AdmittedRequest;

  /** Attempts so far, without those that their endpoints did not run. */
  #attemptCount = 0;

  #notRunCount = 0;

  /** True while the next attempt costs no retry: it is the first, or the one before reached no endpoint. */
  #isPaid = true;

  constructor(context: GatewayContext, admitted: AdmittedRequest) {
    this.#context = context;
    this.#admitted = admitted;
  }

  /** True when the request may be run once more. */
  get hasAttempts(): boolean {
    const { isRepeatable, maxAttempts } = this.#admitted;
    return isRepeatable && this.#attemptCount < maxAttempts;
  }

  /** True when so many endpoints have not run the request that no further one is tried now. */
  get isTurnedAway(): boolean {
    return this.#notRunCount > MAX_NOT_RUN_ATTEMPTS;
  }

  /** Counts an attempt that is sent. */
  countAttempt(): void {
    this.#attemptCount += 1;
    this.#isPaid = false;
  }

  /** Takes back an attempt that an endpoint did not run. */
  takeBackNotRun(): void {
    this.#attemptCount -= 1;
    this.#notRunCount += 1;
  }

  /** Takes back an attempt whose endpoint could not be reached; only a few are tried. */
  takeBackUnreached(): void {
    this.takeBackUnsent();
    this.#notRunCount += 1;
  }

  /** Takes back an attempt that reached no endpoint. */
  takeBackUnsent(): void {
    this.#attemptCount -= 1;
    this.#isPaid = true;
  }

  /** Lets endpoints be tried again that have turned the request away. */
  forgetNotRun(): void {
    this.#notRunCount = 0;
  }

  /** Takes a retry from the budget for the next attempt, if it costs one; false when it is used up. */
  pay(): boolean {
    const { state, countFleetVms } = this.#context;
    const { serviceId } = this.#admitted.job;
    this.#isPaid ||= takeRetry(state.retryBudget, serviceId, countFleetVms(), now());
    return this.#isPaid;
  }
}
