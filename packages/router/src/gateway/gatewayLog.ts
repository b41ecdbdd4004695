import type { Logger } from 'winston';

import { now } from '../clock.js';

/** Rate limit of lines about single requests; dropped lines are counted in the next one. */
const MAX_DECISION_LINES_PER_SECOND = 150;

const MS_PER_SECOND = 1000;

/** Fields of a log line; must not contain prompts, bodies or keys. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Writes structured log lines; those about requests are rate-limited so that a flood cannot slow
 * requests.
 */
export class GatewayLog {
  readonly #log: Logger;

  #lineBudget = MAX_DECISION_LINES_PER_SECOND;

  #refilledAt = now();

  #droppedLines = 0;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** Logs a decision about one request, unless the rate limit is reached. */
  decision(event: string, fields: LogFields): void {
    const instant = now();
    const earned = ((instant - this.#refilledAt) / MS_PER_SECOND) * MAX_DECISION_LINES_PER_SECOND;
    this.#lineBudget = Math.min(MAX_DECISION_LINES_PER_SECOND, this.#lineBudget + earned);
    this.#refilledAt = instant;
    if (this.#lineBudget < 1) {
      this.#droppedLines += 1;
      return;
    }
    this.#lineBudget -= 1;
    const dropped = this.#droppedLines === 0 ? {} : { droppedLines: this.#droppedLines };
    this.#droppedLines = 0;
    this.#log.info(event, { ...fields, ...dropped });
  }

  /** Logs a change of the gateway's state. */
  change(event: string, fields: LogFields): void {
    this.#log.info(event, fields);
  }

  /** Logs a dependency that is unavailable or misbehaves. */
  warn(event: string, fields: LogFields): void {
    this.#log.warn(event, fields);
  }
}
