import {
  isDeparting,
  listDoubtfulDepartures,
  recordDeparture,
  revokeDeparture,
  type RegisteredEndpoint,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AnswerMetadata } from './dialect.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';

/** Interval of health checks at endpoints that leave by their answers, but not by their entries. */
const CHECK_INTERVAL_MS = 2000;

const OK_STATUS = 200;

/** Status of an endpoint that is not the expected one. */
const MISDIRECTED_STATUS = 421;

/** Records which endpoints say in their answers that they leave, and tells the peers at once. */
export class DepartureRecorder {
  readonly #state: GatewayState;

  readonly #log: GatewayLog;

  readonly #notifyPeers: () => void;

  #checkedAt = 0;

  constructor(state: GatewayState, log: GatewayLog, notifyPeers: () => void) {
    this.#state = state;
    this.#log = log;
    this.#notifyPeers = notifyPeers;
  }

  /** Records what an endpoint's answer to a request says. */
  recordAnswer(endpoint: RegisteredEndpoint, status: number, answer: AnswerMetadata): void {
    const isOfAnother = answer.endpointId !== null && answer.endpointId !== endpoint.id;
    if (!answer.isLeaving || isOfAnother || status === MISDIRECTED_STATUS) return;
    if (!recordDeparture(this.#state.directory, endpoint, now())) return;
    // A stray header is found out by the next health check.
    this.#checkedAt = 0;
    this.#log.change('endpoint_leaving', { endpointId: endpoint.id });
    this.#notifyPeers();
  }

  /** Records what an endpoint's answer to a health check says. */
  recordHealthAnswer(endpoint: RegisteredEndpoint, status: number, answer: AnswerMetadata): void {
    this.recordAnswer(endpoint, status, answer);
    if (answer.isLeaving || status !== OK_STATUS) return;
    const { directory } = this.#state;
    if (!isDeparting(directory, endpoint) || !revokeDeparture(directory, endpoint)) return;
    this.#log.change('endpoint_staying', { endpointId: endpoint.id });
  }

  /** Lists the endpoints whose departure a health check is due to confirm. */
  takeDueChecks(): string[] {
    const instant = now();
    if (instant - this.#checkedAt < CHECK_INTERVAL_MS) return [];
    const due = listDoubtfulDepartures(this.#state.directory);
    if (due.length > 0) this.#checkedAt = instant;
    return due;
  }
}
