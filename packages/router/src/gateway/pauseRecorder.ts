import { pauseLeftMs, recordPause, type RegisteredEndpoint } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AnswerMetadata } from './dialect.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';

/** Status of an endpoint that is not the expected one. */
const MISDIRECTED_STATUS = 421;

/** Records for how long endpoints want nothing from this VM. */
export class PauseRecorder {
  readonly #state: GatewayState;

  readonly #log: GatewayLog;

  constructor(state: GatewayState, log: GatewayLog) {
    this.#state = state;
    this.#log = log;
  }

  /** Records what an endpoint's answer to a request or health check says. */
  recordAnswer(endpoint: RegisteredEndpoint, status: number, answer: AnswerMetadata): void {
    const { endpointId, pauseMs } = answer;
    const isOfAnother = endpointId !== null && endpointId !== endpoint.id;
    if (pauseMs === null || isOfAnother || status === MISDIRECTED_STATUS) return;
    recordPause(this.#state.pauses, endpoint, pauseMs, now());
    this.#log.decision('endpoint_paused', { endpointId: endpoint.id, pauseMs });
  }

  /** Returns the time until an endpoint takes requests again, in milliseconds. */
  leftMs(endpoint: RegisteredEndpoint): number {
    const { pauses } = this.#state;
    // Hot path: most of the time no endpoint asks for a pause.
    return pauses.pauses.size === 0 ? 0 : pauseLeftMs(pauses, endpoint, now());
  }
}
