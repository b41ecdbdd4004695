import {
  countCrashes,
  recordEndpointEnd,
  recordLostAttempt,
  type CrashReport,
  type LostAttempt,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';

/** Records which requests ran on endpoints that ended, and logs it. */
export class CrashRecorder {
  readonly #state: GatewayState;

  readonly #log: GatewayLog;

  constructor(state: GatewayState, log: GatewayLog) {
    this.#state = state;
    this.#log = log;
  }

  /** Records an attempt that ended without a complete answer. */
  recordLostAttempt(endpointId: string, attempt: LostAttempt): void {
    const { fingerprint, isPresumedCrash } = attempt;
    this.#log.decision('attempt_lost', { fingerprint, endpointId, isBroken: isPresumedCrash });
    const crash = recordLostAttempt(this.#state.suspects, endpointId, attempt);
    if (crash !== null) this.#logCrash(crash, 'found_before');
  }

  /** Records that an endpoint has ended; `sign` is what showed it, for the log. */
  recordEndpointEnd(endpointId: string, sign: string): void {
    recordEndpointEnd(this.#state.suspects, endpointId, now()).forEach((crash) => {
      this.#logCrash(crash, sign);
    });
  }

  #logCrash({ fingerprint, endpointId }: CrashReport, sign: string): void {
    const known = countCrashes(this.#state.suspects, fingerprint, now());
    this.#log.decision('crash_recorded', { fingerprint, endpointId, sign, ...known });
  }
}
